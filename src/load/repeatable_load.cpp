/** @file repeatable_load.cpp repeatable-load: prints what callers get at several loads, by the decisions alone. */

#include "daemon/settings.h"
#include "load/load_player.h"

#include <fmt/core.h>
#include <map>
#include <string>
#include <vector>

namespace
{

using namespace medlarmill;

constexpr Duration LAST_ANSWERS = Millis(4'000); ///< Time for the answers to the last jobs.
constexpr Duration BURST = Millis(2'000); ///< Length of a burst.
constexpr Duration AFTER_BURST_PART = Millis(2'000); ///< Answers after a burst are counted for each such time, those to earlier jobs, too.
constexpr int AFTER_BURST_PARTS = 4; ///< Number of such times.
constexpr double BURST_RATIO = 2; ///< Load of a burst.
constexpr double AFTER_BURST_RATIO = 0.8; ///< Load after it.

/** Shares of the callers where one entry has half of them: few jobs at an entry leave it little evidence to learn from. */
const std::vector<double> UNEVEN_SHARES = {0.5, 0.2, 0.1, 0.1, 0.05, 0.05};

void printStats(std::string_view load, double goodput, const std::map<std::string, CallerStats> &byKind)
{
    for (const auto &[kind, stats] : byKind) {
        fmt::print("{} {:.3f} {} {} {} {} {} {} {}\n", load, goodput, kind, stats.asked, stats.inTime, stats.late, stats.refused,
                   stats.refusedWithRoom, toMillis(stats.longestRefusal));
    }
}

void playSteady(std::uint64_t seed, double ratio, Duration span)
{
    LoadPlayer player(seed);
    player.play(ratio, span);
    const double goodput = player.takeGoodput(span);
    player.play(0, LAST_ANSWERS);
    printStats(fmt::format("{}", ratio), goodput, player.takeStats());
}

void playBurst(std::uint64_t seed, std::string_view name, const std::vector<double> &entryShares)
{
    LoadPlayer player(seed, entryShares);
    player.play(BURST_RATIO, BURST);
    player.takeStats();
    player.takeGoodput(BURST);
    for (int part = 1; part <= AFTER_BURST_PARTS; ++part) {
        player.play(AFTER_BURST_RATIO, AFTER_BURST_PART);
        printStats(fmt::format("{}_{}", name, part), player.takeGoodput(AFTER_BURST_PART), player.takeStats());
    }
}

}

int main(int argc, const char **argv)
{
    SettingsBuilder builder("repeatable-load", "Plays loads of repeatable jobs on a virtual clock and prints what callers get.");
    builder.add({"seed", SettingType::Number, "11", "Seed of arrivals and run times"})
        .add({"seconds", SettingType::Number, "6", "Length of each steady load"});
    const SettingValues values = readSettingsOrExit(builder, argc, argv);
    const std::uint64_t seed = values.number("seed");
    fmt::print("load goodput kind asked in_time late refused refused_with_room longest_refusal_ms\n");
    for (const double ratio : {0.6, 0.8, 0.95, 1.1, 1.5}) {
        playSteady(seed, ratio, std::chrono::seconds(values.number("seconds")));
    }
    playBurst(seed, "after_burst", {});
    playBurst(seed, "after_burst_uneven", UNEVEN_SHARES);
    return 0;
}
