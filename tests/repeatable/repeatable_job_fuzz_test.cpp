/** @file repeatable_job_fuzz_test.cpp Repeatable jobs under faults, against the oracle. */

#include "repeatable_job_world.h"

#include <doctest/doctest.h>
#include <iostream>
#include <rapidcheck.h>

namespace medlarmill::fake
{

std::ostream &operator<<(std::ostream &stream, const FaultEvent &event)
{
    return stream << "{Fault(" << static_cast<int>(event.kind) << ")," << event.atMs << ',' << event.durationMs << ',' << event.target
                  << '}';
}

}

namespace
{

using namespace medlarmill;
using namespace medlarmill::fake;

constexpr int LOAD_MS = 7'000; ///< Length of the load in a fuzzed run.

rc::Gen<FaultEvent> genFault()
{
    return rc::gen::build<FaultEvent>(rc::gen::set(&FaultEvent::kind,
                                                   rc::gen::map(rc::gen::inRange(0, FAULT_KINDS),
                                                                [](int kind) {
                                                                    return static_cast<Fault>(kind);
                                                                })),
                                      rc::gen::set(&FaultEvent::atMs, rc::gen::inRange(0, LOAD_MS)),
                                      rc::gen::set(&FaultEvent::durationMs, rc::gen::inRange(100, 5'000)),
                                      rc::gen::set(&FaultEvent::target, rc::gen::inRange(0, 70)));
}

void assertInvariants(RepeatableJobWorld &world)
{
    for (const std::string &violation : world.oracle().violations) {
        std::cout << "violation: " << violation << '\n';
    }
    RC_ASSERT(world.oracle().violations.empty());
    RC_ASSERT(world.unanswered() == 0);
    RC_ASSERT(world.recovered());
}

/** Cuts and kills that expose runs which outlive their entry. @return violations over some seeds. */
std::size_t countViolations(const RepeatableJobEntrySettings &entry, const RepeatableJobAgentSettings &agent)
{
    std::size_t count = 0;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        RepeatableJobWorld world(seed, 3, 4);
        world.entrySettings = entry;
        world.agentSettings = agent;
        std::vector<FaultEvent> faults;
        for (int at = 500; at < LOAD_MS; at += 900) {
            faults.push_back({Fault::CutAgent, at, 700, at});
            faults.push_back({Fault::KillEntry, at + 100, 600, at / 300});
        }
        world.run(faults, LOAD_MS, 12);
        count += world.oracle().violations.size();
    }
    return count;
}

/** Plays fixed faults. */
void runFaults(std::uint64_t seed, const std::vector<FaultEvent> &faults)
{
    RepeatableJobWorld world(seed, 3, 4);
    world.trace = std::getenv("TRACE") != nullptr;
    world.run(faults, LOAD_MS, 12);
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
    runFaults(1, {});
}

TEST_CASE("an entry that stood still for long does not call jobs not run whose ends the agents have forgotten")
{
    runFaults(2, {{Fault::FreezeEntry, 2'000, 3'600, 0}, {Fault::FreezeEntry, 3'000, 3'400, 1}});
}

TEST_CASE("all machines lose power, and again")
{
    runFaults(3, {{Fault::KillAll, 1'500, 0, 0}, {Fault::KillAll, 2'400, 0, 0}, {Fault::KillAll, 4'000, 0, 0}});
}

TEST_CASE("three entries stand still in turn under load")
{
    runFaults(4, {{Fault::FreezeEntry, 1'000, 2'500, 0}, {Fault::FreezeEntry, 2'000, 2'500, 1}, {Fault::FreezeEntry, 3'000, 2'500, 2}});
}

TEST_CASE("orders that are carried out late meet a frozen agent")
{
    runFaults(5, {{Fault::DelayedCalls, 500, 4'000, 0}, {Fault::FreezeAgent, 1'500, 1'200, 0}, {Fault::KillAgent, 3'100, 0, 0}});
}

TEST_CASE("the fuzzer catches runs that outlive their entry, and agents that are given up too early")
{
    CHECK(countViolations({}, {}) == 0);
    RepeatableJobAgentSettings longSilenceAgent;
    longSilenceAgent.entrySilence = Millis(4'000);
    CHECK(countViolations({}, longSilenceAgent) > 0);
    RepeatableJobEntrySettings earlyRetryEntry;
    earlyRetryEntry.agentLossTimeout = Millis(0);
    CHECK(countViolations(earlyRetryEntry, {}) > 0);
}

TEST_CASE("runs that stand still are found and run elsewhere")
{
    RepeatableJobWorld world(6, 3, 4);
    world.run({{Fault::StalledRuns, 500, 6'000, 1}}, LOAD_MS, 4);
    CHECK(world.oracle().violations.empty());
    CHECK(world.recovered());
    CHECK(world.oracle().abandoned < world.oracle().complete); // Without the search for them, more are given up than complete.
}

TEST_CASE("half of the orders late at one endpoint do not make it lose its runs")
{
    RepeatableJobWorld world(7, 3, 4);
    world.run({{Fault::LostReplies, 500, 6'000, 1}, {Fault::DelayedCalls, 500, 6'000, 2}}, LOAD_MS, 4);
    CHECK(world.oracle().violations.empty());
    CHECK(world.recovered());
    CHECK(world.oracle().abandoned < world.oracle().complete);
}

TEST_CASE("every mix of troubles keeps what must hold")
{
    rc::check("guarded endpoints", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        const auto faults = *rc::gen::resize(9, rc::gen::container<std::vector<FaultEvent>>(genFault()));
        RepeatableJobWorld world(seed, 3, 4);
        world.run(faults, LOAD_MS, 12);
        assertInvariants(world);
    });
}

TEST_CASE("endpoints that do not guard their capacity are never over it")
{
    rc::check("unguarded endpoints", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        const auto faults = *rc::gen::resize(5, rc::gen::container<std::vector<FaultEvent>>(genFault()));
        RepeatableJobWorld world(seed, 3, 4);
        world.endpointsEnforceCapacity = false;
        world.run(faults, LOAD_MS, 25);
        assertInvariants(world);
    });
}
