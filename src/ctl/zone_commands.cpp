/** @file zone_commands.cpp The command on evacuated availability zones: zones. */

#include "ctl/command_type.h"
#include "http/client.h"
#include "net/address.h"

#include <charconv>
#include <fmt/format.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

namespace medlarmill
{

namespace
{

using nlohmann::json;

constexpr unsigned STATUS_OK = 200;
constexpr std::string_view ROLES[] = {"entry", "agent"}; ///< Begin the names of the gauges.

/** @return the gauges of a metrics page by name, with labels. */
std::map<std::string, double> readGauges(const std::string &page)
{
    std::map<std::string, double> gauges;
    std::istringstream lines(page);
    for (std::string line; std::getline(lines, line);) {
        const std::size_t space = line.rfind(' ');
        double value = 0;
        if (space == std::string::npos || std::from_chars(line.data() + space + 1, line.data() + line.size(), value).ec != std::errc()) {
            continue;
        }
        gauges[line.substr(0, space)] = value;
    }
    return gauges;
}

/** @return what the gauges say about evacuated zones; null when they are of no process that knows zones. */
json zonesOf(const std::map<std::string, double> &gauges)
{
    for (const std::string_view role : ROLES) {
        const auto version = gauges.find(fmt::format("medlarmill_{}_zones_version", role));
        if (version == gauges.end()) {
            continue;
        }
        json document = {{"version", static_cast<std::uint64_t>(version->second)}, {"evacuated", json::array()}};
        const std::string known = fmt::format("medlarmill_{}_zone_evacuated_ms{{zone=\"", role);
        for (auto gauge = gauges.lower_bound(known); gauge != gauges.end() && gauge->first.starts_with(known); ++gauge) {
            const std::string zone = gauge->first.substr(known.size(), gauge->first.rfind('"') - known.size());
            const auto left = gauges.find(fmt::format("medlarmill_{}_zone_runs_left{{zone=\"{}\"}}", role, zone));
            document["evacuated"].push_back({{"zone", zone},
                                             {"known_for_ms", static_cast<std::uint64_t>(gauge->second)},
                                             {"runs_left", left == gauges.end() ? 0 : static_cast<std::uint64_t>(left->second)}});
        }
        return document;
    }
    return nullptr;
}

int zones(const CommandContext &context)
{
    const auto address = parseAddress(context.arguments[0]);
    if (!address.ok()) {
        std::cerr << address.status().message() << '\n';
        return EXIT_USAGE;
    }
    const HttpResult result = callHttp({*address, makeHttpRequest(boost::beast::http::verb::get, "/metrics")});
    if (result.status != STATUS_OK) {
        std::cerr << fmt::format("{} gives no metrics page (status {}): name the metrics address of an entry or agent\n",
                                 context.arguments[0], result.status);
        return EXIT_FAILED;
    }
    const json document = zonesOf(readGauges(result.body));
    if (document.is_null()) {
        std::cerr << fmt::format("the metrics page of {} has no zones: name an entry or agent for repeatable jobs\n", context.arguments[0]);
        return EXIT_FAILED;
    }
    if (context.isJson()) {
        std::cout << document.dump() << '\n';
        return EXIT_OK;
    }
    std::cout << fmt::format("version {}, {} evacuated\n", document["version"].get<std::uint64_t>(), document["evacuated"].size());
    for (const json &zone : document["evacuated"]) {
        std::cout << fmt::format("{}: for {:.1f} s, {} runs left\n", zone["zone"].get<std::string>(),
                                 zone["known_for_ms"].get<double>() / 1'000, zone["runs_left"].get<std::uint64_t>());
    }
    return EXIT_OK;
}

}

std::vector<Command> zoneCommands()
{
    return {{"zones", "METRICS-ADDRESS", "Print the evacuated availability zones that an entry or agent knows", 1, zones}};
}

}
