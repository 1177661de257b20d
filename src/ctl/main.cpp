/** @file main.cpp medlarmillctl: operators' commands. */

#include "ctl/command_type.h"

#include <algorithm>
#include <fmt/core.h>
#include <iostream>

int main(int argc, const char **argv)
{
    using namespace medlarmill;
    std::vector<Command> commands = configCommands();
    std::ranges::move(processCommands(), std::back_inserter(commands));
    std::ranges::move(zoneCommands(), std::back_inserter(commands));
    std::string summary = "medlarmillctl [flags] COMMAND [ARGUMENT...]\n";
    for (const Command &command : commands) {
        summary += fmt::format("\n  {:<10} {:<18} {}", command.name, command.arguments, command.help);
    }
    SettingsBuilder builder("medlarmillctl", summary);
    builder.add({"platform", SettingType::Address, "", "Address of the platform's table, for commands on the configuration"})
        .add({"timeout-ms", SettingType::Number, "10000", "Time for an answer of the platform", false, 100, 600'000})
        .add({"based-on", SettingType::Number, "", "Version that a submitted document is based on; the newest when absent"})
        .add({"json", SettingType::Flag, "", "Print JSON"});
    const SettingValues values = readSettingsOrExit(builder, argc, argv);
    const std::vector<std::string> &arguments = values.arguments();
    const auto command = std::ranges::find_if(commands, [&](const Command &item) {
        return !arguments.empty() && item.name == arguments.front();
    });
    if (command == commands.end() || arguments.size() != command->count + 1) {
        std::cerr << summary << "\n\nname a command with its arguments; see --help\n";
        return EXIT_USAGE;
    }
    return command->run({values, {arguments.begin() + 1, arguments.end()}});
}
