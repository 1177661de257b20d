/** @file main.cpp medlarmill-entry: takes callers' requests and is home of their jobs. */

#include "daemon/logging.h"
#include "daemon/random.h"
#include "daemon/settings.h"
#include "daemon/stop_signal.h"
#include "entry_daemon/entry_process.h"
#include "net/address.h"
#include "platform/deployment.h"
#include "platform/programs.h"

#include <iostream>

namespace
{

using namespace medlarmill;

constexpr std::uint64_t MAX_MS = 86'400'000; ///< Longest time in a setting: a day.
constexpr int EXIT_DRAIN_LIMIT = 3; ///< Exit code when a planned stop left work behind.

SettingsBuilder entrySettings()
{
    SettingsBuilder builder("medlarmill-entry", "Takes callers' requests over HTTP and dispatches them to endpoints.");
    builder.add({"name", SettingType::Text, "", "Name of this entry, stable over restarts", true})
        .add({"zone", SettingType::Text, "", "Availability zone", true})
        .add({"cell", SettingType::Text, "main", "Group of entries that share a roster"})
        .add({"listen", SettingType::Address, "", "Address for agents and other entries", true})
        .add({"http-listen", SettingType::Address, "", "Address for callers", true})
        .add({"admin-listen", SettingType::Address, "", "Address for medlarmillctl", true})
        .add({"peers", SettingType::Addresses, "", "Addresses of other entries"})
        .add({"platform", SettingType::Address, "", "Address of the platform's table", true})
        .add({"retention-ms", SettingType::Number, "600000", "How long answers and start records are kept", false, 10'000, MAX_MS})
        .add({"peer-silence-ms", SettingType::Number, "1500", "An entry not heard for so long is given up", false, 100, MAX_MS})
        .add({"agent-silence-ms", SettingType::Number, "1000", "An agent not heard for so long gets no new work", false, 100, MAX_MS})
        .add({"agent-loss-ms", SettingType::Number, "3000", "An agent not heard for so long has lost its tasks", false, 100, MAX_MS})
        .add({"store-interval-ms", SettingType::Number, "1000", "Time between reads of the platform's table", false, 50, 60'000})
        .add({"store-timeout-ms", SettingType::Number, "15000", "Time for an answer of the platform's table", false, 100, 120'000})
        .add({"drain-limit-ms", SettingType::Number, "60000", "Longest planned stop", false, 0, MAX_MS})
        .add({"max-jobs", SettingType::Number, "200000", "Jobs kept at most", false, 1, 100'000'000})
        .add({"max-job-bytes", SettingType::Number, "67108864", "Bytes of inputs and results kept at most", false, 1'024})
        .add({"max-callers", SettingType::Number, "20000", "Callers that may wait for an answer", false, 1, 1'000'000})
        .add({"max-body-bytes", SettingType::Number, "8388608", "Largest body of a request", false, 1'024, 1U << 30U})
        .add({"admission", SettingType::Number, "1", "Refuse jobs that cannot meet their deadline (0 or 1)", false, 0, 1})
        .add({"log-levels", SettingType::Text, "info", "Log levels, such as info,link=debug"});
    return builder;
}

EntryProcessSettings toProcessSettings(const SettingValues &values)
{
    EntryProcessSettings settings;
    MembershipSettings &membership = settings.core.membership;
    membership.name = values.text("name");
    membership.zone = values.text("zone");
    membership.address = values.text("listen");
    membership.retention = Millis(values.number("retention-ms"));
    membership.peerTimeout = Millis(values.number("peer-silence-ms"));
    membership.agentSuspectTimeout = Millis(values.number("agent-silence-ms"));
    membership.agentLossTimeout = Millis(values.number("agent-loss-ms"));
    settings.core.maxJobs = values.number("max-jobs");
    settings.core.maxJobBytes = values.number("max-job-bytes");
    settings.core.admitByEstimate = values.number("admission") != 0;
    settings.listen = *parseAddress(values.text("listen"));
    settings.httpListen = *parseAddress(values.text("http-listen"));
    settings.adminListen = values.text("admin-listen");
    settings.platform = *parseAddress(values.text("platform"));
    const auto peers = parseAddresses(values.text("peers"));
    for (const auto &peer : *peers) {
        settings.peers.push_back(formatAddress(peer));
    }
    settings.cell = values.text("cell");
    settings.storeInterval = Millis(values.number("store-interval-ms"));
    settings.storeTimeout = Millis(values.number("store-timeout-ms"));
    settings.drainLimit = Millis(values.number("drain-limit-ms"));
    settings.maxCallers = values.number("max-callers");
    settings.http.maxBodyBytes = values.number("max-body-bytes");
    return settings;
}

}

int main(int argc, const char **argv)
{
    if (argc == 1 && platform::isOnPlatform()) {
        return platform::runEntry();
    }
    SettingsBuilder builder = entrySettings();
    const SettingValues values = readSettingsOrExit(builder, argc, argv);
    const absl::Status logging = setUpLogging(values.text("name"), values.text("log-levels"));
    if (!logging.ok()) {
        std::cerr << "--log-levels: " << logging.message() << '\n';
        return EXIT_USAGE;
    }
    catchStopSignals();
    EntryExit exit = EntryExit::Restart;
    while (exit == EntryExit::Restart) {
        EntryProcessSettings settings = toProcessSettings(values);
        settings.core.membership.incarnation = newIncarnation();
        exit = EntryProcess(std::move(settings)).run();
    }
    switch (exit) {
    case EntryExit::Stopped:
        return 0;
    case EntryExit::DrainLimit:
        return EXIT_DRAIN_LIMIT;
    default:
        return 1;
    }
}
