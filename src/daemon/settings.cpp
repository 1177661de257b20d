/** @file settings.cpp Settings from flags and environment variables. */

#include "daemon/settings.h"

#include "net/address.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fmt/core.h>
#include <iostream>
#include <memory>
#include <popt.h>

namespace medlarmill
{

namespace
{

constexpr int OPTION_BASE = 1000; ///< First option value handed to popt.

std::string environmentName(std::string_view name)
{
    std::string result = "MEDLARMILL_";
    for (const char c : name) {
        result.push_back(c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c))));
    }
    return result;
}

std::string checkNumber(const Setting &setting, const std::string &value)
{
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(value.data(), value.data() + value.size(), number);
    const bool valid = parsed.ec == std::errc() && parsed.ptr == value.data() + value.size();
    if (valid && number >= setting.low && number <= setting.high) {
        return {};
    }
    return fmt::format("\"{}\" is no whole number from {} to {}", value, setting.low, setting.high);
}

/** @return what is wrong with a value, empty when it is right. */
std::string check(const Setting &setting, const std::string &value)
{
    if (value.empty()) {
        return setting.required ? "is required: give the flag or the environment variable" : "";
    }
    switch (setting.type) {
    case SettingType::Number:
        return checkNumber(setting, value);
    case SettingType::Address: {
        const auto address = parseAddress(value);
        return address.ok() ? "" : std::string(address.status().message());
    }
    case SettingType::Addresses: {
        const auto addresses = parseAddresses(value);
        return addresses.ok() ? "" : std::string(addresses.status().message());
    }
    default:
        return {};
    }
}

struct PoptDeleter
{
    void operator()(poptContext context) const
    {
        poptFreeContext(context);
    }
};

}

const std::string &SettingValues::text(std::string_view name) const
{
    return values_.find(name)->second;
}

std::uint64_t SettingValues::number(std::string_view name) const
{
    return std::strtoull(text(name).c_str(), nullptr, 10);
}

bool SettingValues::flag(std::string_view name) const
{
    const std::string &value = text(name);
    return !value.empty() && value != "0";
}

void SettingValues::set(std::string_view name, std::string value)
{
    values_[std::string(name)] = std::move(value);
}

SettingsBuilder::SettingsBuilder(std::string program, std::string summary)
    : program_(std::move(program))
    , summary_(std::move(summary))
{ }

SettingsBuilder &SettingsBuilder::add(Setting setting)
{
    settings_.push_back(std::move(setting));
    return *this;
}

absl::StatusOr<SettingValues> SettingsBuilder::read(int argc, const char **argv) const
{
    std::vector<std::string> helps;
    std::vector<poptOption> options;
    helps.reserve(settings_.size());
    int number = OPTION_BASE;
    for (const Setting &setting : settings_) {
        helps.push_back(fmt::format("{} [{}{}]", setting.help, environmentName(setting.name),
                                    setting.fallback.empty() ? "" : "; default " + setting.fallback));
        const int kind = setting.type == SettingType::Flag ? POPT_ARG_NONE : POPT_ARG_STRING;
        options.push_back({setting.name.c_str(), '\0', static_cast<unsigned>(kind), nullptr, number++, helps.back().c_str(), nullptr});
    }
    options.push_back({"version", '\0', POPT_ARG_NONE, nullptr, 1, "Print the version and exit", nullptr});
    options.push_back({"help", '?', POPT_ARG_NONE, nullptr, 2, "Print this text and exit", nullptr});
    options.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});

    const std::unique_ptr<std::remove_pointer_t<poptContext>, PoptDeleter> context(
        poptGetContext(program_.c_str(), argc, argv, options.data(), 0));
    SettingValues values;
    std::map<std::string, bool> given;
    int option = 0;
    while ((option = poptGetNextOpt(context.get())) > 0) {
        if (option == 1) {
            std::cout << program_ << ' ' << MEDLARMILL_VERSION << '\n';
            std::exit(0);
        }
        if (option == 2) {
            std::cout << summary_ << "\n\n";
            poptPrintHelp(context.get(), stdout, 0);
            std::exit(0);
        }
        const Setting &setting = settings_[static_cast<std::size_t>(option - OPTION_BASE)];
        char *argument = poptGetOptArg(context.get());
        values.set(setting.name, setting.type == SettingType::Flag ? "1" : argument);
        given[setting.name] = true;
        std::free(argument);
    }
    if (option < -1) {
        return absl::InvalidArgumentError(
            fmt::format("{}: {}; see --help", poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), poptStrerror(option)));
    }
    while (const char *argument = poptGetArg(context.get())) {
        values.addArgument(argument);
    }
    std::string errors;
    for (const Setting &setting : settings_) {
        if (!given.contains(setting.name)) {
            const char *environment = std::getenv(environmentName(setting.name).c_str());
            values.set(setting.name, environment != nullptr ? environment : setting.fallback);
        }
        const std::string error = check(setting, values.text(setting.name));
        if (!error.empty()) {
            errors += fmt::format("--{} ({}): {}\n", setting.name, environmentName(setting.name), error);
        }
    }
    if (!errors.empty()) {
        errors.pop_back();
        return absl::InvalidArgumentError(errors);
    }
    return values;
}

SettingValues readSettingsOrExit(SettingsBuilder &builder, int argc, const char **argv)
{
    builder.add({"check-settings", SettingType::Flag, "", "Check the settings and exit"});
    auto values = builder.read(argc, argv);
    if (!values.ok()) {
        std::cerr << values.status().message() << '\n';
        std::exit(EXIT_USAGE);
    }
    if (values->flag("check-settings")) {
        std::cout << "settings are valid\n";
        std::exit(0);
    }
    return *std::move(values);
}

}
