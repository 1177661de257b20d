/** @file process_commands.cpp Commands on running processes: status, drain. */

#include "ctl/command_type.h"
#include "daemon/admin_server.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace medlarmill
{

namespace
{

using nlohmann::json;

int call(const CommandContext &context, const std::string &command)
{
    std::string reply;
    const absl::Status status = callAdmin(context.arguments[0], command, &reply);
    if (!status.ok()) {
        std::cerr << status.message() << '\n';
        return EXIT_FAILED;
    }
    const json document = json::parse(reply, nullptr, false);
    std::cout << (context.isJson() || document.is_discarded() ? reply : document.dump(2)) << '\n';
    return document.is_object() && document.contains("error") ? EXIT_FAILED : EXIT_OK;
}

int status(const CommandContext &context)
{
    return call(context, "status");
}

int drain(const CommandContext &context)
{
    return call(context, "drain");
}

}

std::vector<Command> processCommands()
{
    return {{"status", "ADDRESS", "Print the state of an entry or agent", 1, status},
            {"drain", "ADDRESS", "Begin a planned stop of an entry or agent", 1, drain}};
}

}
