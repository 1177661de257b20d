/** @file command_type.h What the commands of medlarmillctl share. */

#pragma once

#include "daemon/settings.h"

#include <string>
#include <vector>

namespace medlarmill
{

constexpr int EXIT_OK = 0; ///< Done.
constexpr int EXIT_FAILED = 1; ///< A process or the platform does not answer.
constexpr int EXIT_INVALID = 3; ///< The configuration is wrong; every error was printed.
constexpr int EXIT_CONFLICT = 4; ///< Another operator was first.
constexpr int EXIT_UNDECIDED = 5; ///< The platform did not answer: whether the change is in force is unknown.

/** Context of a command. */
struct CommandContext
{
    const SettingValues &settings; ///< Flags and environment.
    std::vector<std::string> arguments; ///< Arguments after the command's name.

    /** @return whether output is JSON. */
    bool isJson() const
    {
        return settings.flag("json");
    }
};

using CommandFunction = int (*)(const CommandContext &); ///< Runs a command; returns the exit code.

/** One command of medlarmillctl. */
struct Command
{
    std::string name; ///< Name on the command line.
    std::string arguments; ///< Arguments for the help text.
    std::string help; ///< One line.
    std::size_t count; ///< Arguments needed.
    CommandFunction run; ///< The command.
};

/** @return commands on the configuration. */
std::vector<Command> configCommands();

/** @return commands on running processes. */
std::vector<Command> processCommands();

/** @return commands on evacuated availability zones. */
std::vector<Command> zoneCommands();

}
