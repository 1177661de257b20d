/** @file repeatable_job_fuzz_test.cpp Repeatable jobs under troubles, against the oracle. */

#include "repeatable_job_world.h"

#include <doctest/doctest.h>
#include <iostream>
#include <rapidcheck.h>

namespace medlarmill::fake
{

std::ostream &operator<<(std::ostream &stream, const TroubleEvent &event)
{
    return stream << "{Trouble(" << static_cast<int>(event.kind) << ")," << event.atMs << ',' << event.forMs << ',' << event.target << '}';
}

}

namespace
{

using namespace medlarmill;
using namespace medlarmill::fake;

constexpr int PLAY_MS = 7'000; ///< Length of the load in a fuzzed run.

rc::Gen<TroubleEvent> genTrouble()
{
    return rc::gen::build<TroubleEvent>(rc::gen::set(&TroubleEvent::kind,
                                                     rc::gen::map(rc::gen::inRange(0, TROUBLE_KINDS),
                                                                  [](int kind) {
                                                                      return static_cast<Trouble>(kind);
                                                                  })),
                                        rc::gen::set(&TroubleEvent::atMs, rc::gen::inRange(0, PLAY_MS)),
                                        rc::gen::set(&TroubleEvent::forMs, rc::gen::inRange(100, 5'000)),
                                        rc::gen::set(&TroubleEvent::target, rc::gen::inRange(0, 70)));
}

void checkClean(RepeatableJobWorld &world)
{
    for (const std::string &violation : world.oracle().violations) {
        std::cout << "violation: " << violation << '\n';
    }
    RC_ASSERT(world.oracle().violations.empty());
    RC_ASSERT(world.unanswered() == 0);
    RC_ASSERT(world.recovered());
}

/** Cuts and kills that expose runs which outlive their entry. @return violations over some seeds. */
std::size_t violationsOf(const RepeatableJobEntrySettings &entry, const RepeatableJobAgentSettings &agent)
{
    std::size_t count = 0;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        RepeatableJobWorld world(seed, 3, 4);
        world.entrySettings = entry;
        world.agentSettings = agent;
        std::vector<TroubleEvent> troubles;
        for (int at = 500; at < PLAY_MS; at += 900) {
            troubles.push_back({Trouble::CutAgent, at, 700, at});
            troubles.push_back({Trouble::KillEntry, at + 100, 600, at / 300});
        }
        world.play(troubles, PLAY_MS, 12);
        count += world.oracle().violations.size();
    }
    return count;
}

/** Plays fixed troubles. */
void playClean(std::uint64_t seed, const std::vector<TroubleEvent> &troubles)
{
    RepeatableJobWorld world(seed, 3, 4);
    world.trace = std::getenv("TRACE") != nullptr;
    world.play(troubles, PLAY_MS, 12);
    for (const std::string &violation : world.oracle().violations) {
        MESSAGE(violation);
    }
    CHECK(world.oracle().violations.empty());
    CHECK(world.unanswered() == 0);
    CHECK(world.recovered());
    CHECK(world.oracle().complete > 30);
}

}

TEST_CASE("repeatable jobs without trouble are complete")
{
    playClean(1, {});
}

TEST_CASE("an entry that stood still for long does not call jobs not run whose ends the agents have forgotten")
{
    playClean(2, {{Trouble::FreezeEntry, 2'000, 3'600, 0}, {Trouble::FreezeEntry, 3'000, 3'400, 1}});
}

TEST_CASE("all machines lose power, and again")
{
    playClean(3, {{Trouble::KillAll, 1'500, 0, 0}, {Trouble::KillAll, 2'400, 0, 0}, {Trouble::KillAll, 4'000, 0, 0}});
}

TEST_CASE("three entries stand still in turn under load")
{
    playClean(4,
              {{Trouble::FreezeEntry, 1'000, 2'500, 0}, {Trouble::FreezeEntry, 2'000, 2'500, 1}, {Trouble::FreezeEntry, 3'000, 2'500, 2}});
}

TEST_CASE("orders that are carried out late meet a frozen agent")
{
    playClean(5, {{Trouble::LateOrders, 500, 4'000, 0}, {Trouble::FreezeAgent, 1'500, 1'200, 0}, {Trouble::KillAgent, 3'100, 0, 0}});
}

TEST_CASE("the fuzzer catches runs that outlive their entry, and agents that are given up too early")
{
    CHECK(violationsOf({}, {}) == 0);
    RepeatableJobAgentSettings patientAgent;
    patientAgent.entrySilence = Millis(4'000);
    CHECK(violationsOf({}, patientAgent) > 0);
    RepeatableJobEntrySettings hastyEntry;
    hastyEntry.agentLossTimeout = Millis(0);
    CHECK(violationsOf(hastyEntry, {}) > 0);
}

TEST_CASE("runs that stand still are found and run elsewhere")
{
    RepeatableJobWorld world(6, 3, 4);
    world.play({{Trouble::HangingEndpoint, 500, 6'000, 1}}, PLAY_MS, 4);
    CHECK(world.oracle().violations.empty());
    CHECK(world.recovered());
    CHECK(world.oracle().abandoned < world.oracle().complete); // Without the search for them, more are given up than complete.
}

TEST_CASE("half of the orders late at one endpoint do not make it lose its runs")
{
    RepeatableJobWorld world(7, 3, 4);
    world.play({{Trouble::LostAnswers, 500, 6'000, 1}, {Trouble::LateOrders, 500, 6'000, 2}}, PLAY_MS, 4);
    CHECK(world.oracle().violations.empty());
    CHECK(world.recovered());
    CHECK(world.oracle().abandoned < world.oracle().complete);
}

TEST_CASE("every mix of troubles keeps what must hold")
{
    rc::check("guarded endpoints", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        const auto troubles = *rc::gen::resize(9, rc::gen::container<std::vector<TroubleEvent>>(genTrouble()));
        RepeatableJobWorld world(seed, 3, 4);
        world.play(troubles, PLAY_MS, 12);
        checkClean(world);
    });
}

TEST_CASE("endpoints that do not guard their capacity are never over it")
{
    rc::check("unguarded endpoints", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        const auto troubles = *rc::gen::resize(5, rc::gen::container<std::vector<TroubleEvent>>(genTrouble()));
        RepeatableJobWorld world(seed, 3, 4);
        world.guards = false;
        world.play(troubles, PLAY_MS, 25);
        checkClean(world);
    });
}
