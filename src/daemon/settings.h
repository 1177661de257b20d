/** @file settings.h Settings of a program from flags and environment variables, checked. */

#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace medlarmill
{

/** Kind of value of a setting. */
enum class SettingType : std::uint8_t {
    Text, ///< Any text.
    Address, ///< IP number and port.
    Addresses, ///< Addresses separated by commas.
    Number, ///< Whole number within a range.
    Flag, ///< Given or not.
};

/** One setting: a row of a program's table. */
struct Setting
{
    std::string name; ///< Long flag; the environment variable is MEDLARMILL_ and the name in capitals with underscores.
    SettingType type = SettingType::Text; ///< Kind of value.
    std::string fallback; ///< Default; for a required setting, empty.
    std::string help; ///< One line for --help.
    bool required = false; ///< Must not be empty.
    std::uint64_t low = 0; ///< Smallest number.
    std::uint64_t high = UINT64_MAX; ///< Largest number.
};

/** Checked values of settings. */
class SettingValues
{
public:
    /** @param name a setting of type Text, Address or Addresses. @return its value. */
    const std::string &text(std::string_view name) const;

    /** @param name a setting of type Number. @return its value. */
    std::uint64_t number(std::string_view name) const;

    /** @param name a setting of type Flag. @return whether it was given. */
    bool flag(std::string_view name) const;

    /** Sets a value. @param name the setting. @param value its value. */
    void set(std::string_view name, std::string value);

    /** @return arguments that are no flags. */
    const std::vector<std::string> &arguments() const
    {
        return arguments_;
    }

    /** Adds an argument. @param argument the argument. */
    void addArgument(std::string argument)
    {
        arguments_.push_back(std::move(argument));
    }

private:
    std::map<std::string, std::string, std::less<>> values_;
    std::vector<std::string> arguments_;
};

/** Builds the settings of a program and reads them. */
class SettingsBuilder
{
public:
    /** @param program name of the program. @param summary one line for --help. */
    SettingsBuilder(std::string program, std::string summary);

    /** Adds a setting. @param setting the row. @return this. */
    SettingsBuilder &add(Setting setting);

    /** Reads flags, then environment variables, then defaults, and checks all values. @param argc argument count. @param argv arguments.
     * @return the values; or an error that names every wrong setting; --help and --version end the process. */
    absl::StatusOr<SettingValues> read(int argc, const char **argv) const;

private:
    std::string program_;
    std::string summary_;
    std::vector<Setting> settings_;
};

constexpr int EXIT_USAGE = 2; ///< Exit code for wrong settings or arguments.

/** Reads the settings of a daemon; ends the process with a message when one is wrong, and with code 0 on --check-settings. @param builder
 * the settings. @param argc argument count. @param argv arguments. @return the values. */
SettingValues readSettingsOrExit(SettingsBuilder &builder, int argc, const char **argv);

}
