/** @file main.cpp medlarmill-agent: stands beside an endpoint and starts its tasks. */

#include "agent_daemon/agent_process.h"
#include "daemon/logging.h"
#include "daemon/random.h"
#include "daemon/settings.h"
#include "daemon/stop_signal.h"
#include "net/address.h"
#include "platform/deployment.h"
#include "platform/programs.h"

#include <iostream>

namespace
{

using namespace medlarmill;

constexpr std::uint64_t MAX_MS = 86'400'000; ///< Longest time in a setting: a day.

SettingsBuilder agentSettings()
{
    SettingsBuilder builder("medlarmill-agent", "Stands beside an endpoint, takes grants from entries and starts tasks.");
    builder.add({"name", SettingType::Text, "", "Name of the endpoint, stable over restarts", true})
        .add({"service", SettingType::Text, "", "Service that the endpoint serves", true})
        .add({"zone", SettingType::Text, "", "Availability zone", true})
        .add({"entries", SettingType::Addresses, "", "Addresses of entries; more are learned from them", true})
        .add({"http-listen", SettingType::Address, "", "Address for the endpoint's announcements", true})
        .add({"admin-listen", SettingType::Address, "", "Address for medlarmillctl; none when empty"})
        .add({"max-slots", SettingType::Number, "64", "Most tasks at once; the endpoint announces how many it has", false, 1, 4'096})
        .add({"short-reserve", SettingType::Number, "1", "Slots that long tasks cannot take", false, 0, 4'096})
        .add({"lease-ms", SettingType::Number, "2000", "Oldest heartbeat that a grant may quote", false, 100, MAX_MS})
        .add({"heartbeat-ms", SettingType::Number, "250", "Time between heartbeats to an entry", false, 10, 60'000})
        .add({"entry-silence-ms", SettingType::Number, "1000", "A silent connection is replaced after so long", false, 100, MAX_MS})
        .add({"retention-ms", SettingType::Number, "600000", "How long start records are kept; as at the entries", false, 10'000, MAX_MS})
        .add({"max-records", SettingType::Number, "200000", "Start records kept at most", false, 1, 10'000'000})
        .add({"drain-limit-ms", SettingType::Number, "60000", "Longest planned stop", false, 0, MAX_MS})
        .add({"log-levels", SettingType::Text, "info", "Log levels, such as info,link=debug"});
    return builder;
}

}

int main(int argc, const char **argv)
{
    if (argc == 1 && platform::isOnPlatform()) {
        return platform::runAgent();
    }
    SettingsBuilder builder = agentSettings();
    const SettingValues values = readSettingsOrExit(builder, argc, argv);
    const absl::Status logging = setUpLogging(values.text("name"), values.text("log-levels"));
    if (!logging.ok()) {
        std::cerr << "--log-levels: " << logging.message() << '\n';
        return EXIT_USAGE;
    }
    AgentProcessSettings settings;
    settings.core.name = values.text("name");
    settings.core.service = values.text("service");
    settings.core.zone = values.text("zone");
    settings.core.incarnation = newIncarnation();
    settings.core.slots = static_cast<std::uint32_t>(values.number("max-slots"));
    settings.core.shortReserve = static_cast<std::uint32_t>(values.number("short-reserve"));
    settings.core.lease = Millis(values.number("lease-ms"));
    settings.core.heartbeatInterval = Millis(values.number("heartbeat-ms"));
    settings.core.entrySilence = Millis(values.number("entry-silence-ms"));
    settings.core.retention = Millis(values.number("retention-ms"));
    settings.core.maxRecords = values.number("max-records");
    const auto entries = parseAddresses(values.text("entries"));
    for (const auto &entry : *entries) {
        settings.entries.push_back(formatAddress(entry));
    }
    settings.httpListen = *parseAddress(values.text("http-listen"));
    settings.adminListen = values.text("admin-listen");
    settings.drainLimit = Millis(values.number("drain-limit-ms"));
    catchStopSignals();
    return AgentProcess(std::move(settings)).run();
}
