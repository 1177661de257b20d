/** @file repeatable_job_fuzz_test.cpp Simulated runs of repeatable jobs with injected faults; the oracle checks the invariants. */

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

constexpr int LOAD_MS = 7'000; ///< Length of the load.

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

/** Plays network partitions and entry kills, which expose runs that outlive their entry. @return violations over twelve seeds. */
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

/** Runs fixed faults and checks that no invariant is violated, and that jobs complete. */
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

TEST_CASE("repeatable jobs complete without faults")
{
    runFaults(1, {});
}

TEST_CASE("after a long pause, an entry does not answer not run for jobs whose run records the agents have discarded")
{
    runFaults(2, {{Fault::FreezeEntry, 2'000, 3'600, 0}, {Fault::FreezeEntry, 3'000, 3'400, 1}});
}

TEST_CASE("repeated power loss of all machines")
{
    runFaults(3, {{Fault::KillAll, 1'500, 0, 0}, {Fault::KillAll, 2'400, 0, 0}, {Fault::KillAll, 4'000, 0, 0}});
}

TEST_CASE("three entries are frozen at overlapping times under load")
{
    runFaults(4, {{Fault::FreezeEntry, 1'000, 2'500, 0}, {Fault::FreezeEntry, 2'000, 2'500, 1}, {Fault::FreezeEntry, 3'000, 2'500, 2}});
}

TEST_CASE("calls are executed late while their agent is frozen")
{
    runFaults(5, {{Fault::DelayedCalls, 500, 4'000, 0}, {Fault::FreezeAgent, 1'500, 1'200, 0}, {Fault::KillAgent, 3'100, 0, 0}});
}

TEST_CASE("the oracle detects runs that outlive their entry, and agents declared dead too early")
{
    CHECK(countViolations({}, {}) == 0);
    RepeatableJobAgentSettings longSilenceAgent;
    longSilenceAgent.entrySilence = Millis(4'000);
    CHECK(countViolations({}, longSilenceAgent) > 0);
    RepeatableJobEntrySettings earlyRetryEntry;
    earlyRetryEntry.agentLossTimeout = Millis(0);
    CHECK(countViolations(earlyRetryEntry, {}) > 0);
}

TEST_CASE("runs of endpoints that refuse connections, or deregister unheard, and go on are not started elsewhere beside them")
{
    for (const Fault kind : {Fault::RefusedConnections, Fault::UnheardDeregistration, Fault::ClockSetBack}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            RepeatableJobWorld world(seed, 3, 4);
            std::vector<FaultEvent> faults;
            for (int at = 500; at < LOAD_MS; at += 300) {
                faults.push_back({kind, at, 250, at / 300});
            }
            world.run(faults, LOAD_MS, 25);
            CAPTURE(static_cast<int>(kind));
            CAPTURE(seed);
            CHECK(world.oracle().violations.size() == 0);
            CHECK(world.recovered());
        }
    }
}

TEST_CASE("stalled runs are detected and their tasks run elsewhere")
{
    RepeatableJobWorld world(6, 3, 4);
    world.run({{Fault::StalledRuns, 500, 6'000, 1}}, LOAD_MS, 4);
    CHECK(world.oracle().violations.empty());
    CHECK(world.recovered());
    CHECK(world.oracle().abandoned < world.oracle().complete); // Without stall detection, more jobs are abandoned than completed.
}

TEST_CASE("lost replies and delayed calls at an endpoint do not make its runs count as lost")
{
    RepeatableJobWorld world(7, 3, 4);
    world.run({{Fault::LostReplies, 500, 6'000, 1}, {Fault::DelayedCalls, 500, 6'000, 2}}, LOAD_MS, 4);
    CHECK(world.oracle().violations.empty());
    CHECK(world.recovered());
    CHECK(world.oracle().abandoned < world.oracle().complete);
}

TEST_CASE("a task that crashes the endpoints that start it is given up after two crashes")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        RepeatableJobWorld world(seed, 3, 11);
        world.crashingJobsIn100 = 3;
        world.run({}, LOAD_MS, 20);
        CHECK(world.oracle().violations.empty());
        CHECK(world.oracle().crashes > 0);
        CHECK(world.oracle().mostCrashes <= 2);
        CHECK(world.recovered());
    }
}

TEST_CASE("a task that crashes endpoints is not started anew through another entry after the loss of its entry")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        RepeatableJobWorld world(seed, 3, 11);
        world.crashingJobsIn100 = 3;
        std::vector<FaultEvent> faults;
        for (int at = 300; at < LOAD_MS; at += 400) {
            faults.push_back({Fault::KillEntry, at, 0, at / 400});
        }
        world.run(faults, LOAD_MS, 20);
        CHECK(world.oracle().violations.empty());
        CHECK(world.oracle().crashes > 0);
        CHECK(world.oracle().mostCrashes <= 2);
    }
}

TEST_CASE("random faults never violate an invariant")
{
    rc::check("endpoints that enforce their capacity", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        const auto faults = *rc::gen::resize(9, rc::gen::container<std::vector<FaultEvent>>(genFault()));
        RepeatableJobWorld world(seed, 3, 4);
        world.run(faults, LOAD_MS, 12);
        assertInvariants(world);
    });
}

TEST_CASE("endpoints that do not enforce their capacity are never overloaded")
{
    rc::check("endpoints that do not enforce their capacity", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        const auto faults = *rc::gen::resize(5, rc::gen::container<std::vector<FaultEvent>>(genFault()));
        RepeatableJobWorld world(seed, 3, 4);
        world.endpointsEnforceCapacity = false;
        world.run(faults, LOAD_MS, 25);
        assertInvariants(world);
    });
}

TEST_CASE("endpoints that shrink and grow while agents are killed are never started above their capacity")
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        RepeatableJobWorld world(seed, 3, 4);
        world.endpointsEnforceCapacity = false;
        std::vector<FaultEvent> faults;
        for (int agent = 0; agent < 4; ++agent) {
            faults.push_back({Fault::ShrinkEndpoint, 300 + agent * 200, 6'000, agent});
            faults.push_back({Fault::KillAgent, 2'000 + agent * 700, 0, agent});
            faults.push_back({Fault::KillAgent, 5'500 + agent * 300, 0, agent});
        }
        world.run(faults, LOAD_MS, 25);
        for (const std::string &violation : world.oracle().violations) {
            MESSAGE(violation);
        }
        CHECK(world.oracle().violations.empty());
        CHECK(world.recovered());
    }
}

TEST_CASE("runs never overlap at endpoints that do not check fencing tokens, with slow and fast clocks and frozen processes")
{
    rc::check("endpoints that do not check fencing tokens", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        auto faults = *rc::gen::resize(6, rc::gen::container<std::vector<FaultEvent>>(genFault()));
        faults.push_back({Fault::FreezeEntry, 2'000, 1'500, 0});
        faults.push_back({Fault::FreezeAgent, 3'000, 1'500, 1});
        RepeatableJobWorld world(seed, 3, 4);
        world.endpointsCheckFencing = false;
        world.endpointClockRate = *rc::gen::element(0.98, 1.0, 1.02);
        world.run(faults, LOAD_MS, 12);
        assertInvariants(world);
    });
}
