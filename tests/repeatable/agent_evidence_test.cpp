/** @file agent_evidence_test.cpp Tests of what an agent takes as evidence: fencing tokens, start times, ends of runs, drains, probation. */

#include "agent_fixture.h"

#include <array>
#include <doctest/doctest.h>
#include <memory>

namespace
{

using namespace medlarmill;
using namespace medlarmill::fake;

constexpr std::uint64_t TWO_HOURS_MS = 7'200'000;
constexpr std::uint64_t LARGEST_TOKEN = (std::uint64_t{1} << 53U) - 1; ///< Largest number that JSON parsers keep exactly.
constexpr Duration HEARTBEAT = Millis(1'500);

/** Agent processes that follow each other at one endpoint, and heartbeats of the endpoint. */
struct SuccessionFixture : AgentFixture
{
    /** Ends the present agent process and starts another. */
    void restartAgent()
    {
        api.pending.clear();
        successor = std::make_unique<RepeatableJobAgent>(RepeatableJobAgentSettings{"agent", "a", Incarnation{++incarnation}}, recorder,
                                                         api, log);
        successor->onEntryUp(ENTRY, now);
        successor->onNotice(api.endpoint.notice(now), now);
    }

    RepeatableJobAgent &current()
    {
        return successor != nullptr ? *successor : agent;
    }

    /** Lets time pass with heartbeats. @return how long it took until the agent accepted work; `limit` if it did not. */
    Duration timeUntilServing(Duration limit)
    {
        Instant nextHeartbeat = now + HEARTBEAT;
        for (const Instant begin = now; now < begin + limit; now += Millis(10)) {
            recorder.sent.clear();
            if (now >= nextHeartbeat) {
                nextHeartbeat += HEARTBEAT;
                current().onNotice(api.endpoint.notice(now), now);
            }
            api.executePending(now);
            current().tick(now);
            for (const repeat::Message &message : recorder.sent) {
                if (message.has_load_report() && message.load_report().accepting()) {
                    return now - begin;
                }
            }
        }
        return limit;
    }

    std::unique_ptr<RepeatableJobAgent> successor;
    std::uint64_t incarnation = 100;
};

EndpointNotice makeDeregistration(const EndpointNotice &notice)
{
    EndpointNotice gone;
    gone.id = notice.id;
    gone.terminated = true;
    return gone;
}

}

TEST_CASE_FIXTURE(SuccessionFixture, "an agent that starts after the restart of its endpoint gets past the fencing token of an earlier one")
{
    api.endpoint.clockStartMs = TWO_HOURS_MS;
    restartAgent();
    CHECK(timeUntilServing(Millis(5'000)) < Millis(500));
    api.endpoint.keepsId = true;
    api.endpoint.clockStartMs = 1;
    api.endpoint.crash(now);
    current().onNotice(api.endpoint.notice(now), now);
    runFor(Millis(100));
    CHECK(timeUntilServing(Millis(5'000)) < Millis(500));
    restartAgent();
    api.pollCalls = 0;
    CHECK(timeUntilServing(Millis(8'000)) < Millis(4'000));
    CHECK(api.pollCalls < 25); // Logarithmic in the 7,200,000 ms by which the clock was reset.
}

TEST_CASE_FIXTURE(SuccessionFixture, "the fencing token of a later holder exceeds earlier ones, whatever restarts and clocks do")
{
    for (std::uint64_t seed = 0; seed < 24; ++seed) {
        CAPTURE(seed);
        const std::uint64_t before = api.lastPoll.fencingToken;
        const bool restartsEndpoint = seed % 3 != 1;
        const bool restartsAgent = seed % 3 != 0;
        if (restartsEndpoint) {
            api.endpoint.keepsId = seed % 2 == 0;
            api.endpoint.clockStartMs = seed % 4 == 0 ? TWO_HOURS_MS * seed : 1;
            api.endpoint.wallClockOffsetMs = (seed % 5 == 0 ? -1 : 1) * static_cast<std::int64_t>(seed * 10'000'000);
            api.endpoint.announcedStartMs = seed % 7 == 6 ? std::optional<std::uint64_t>(0) : std::nullopt;
            api.endpoint.crash(now);
        }
        now += Millis(1'000);
        if (restartsAgent) {
            restartAgent();
        } else {
            current().onNotice(api.endpoint.notice(now), now);
            timeUntilServing(Millis(50));
        }
        api.pollCalls = 0;
        CHECK(timeUntilServing(Millis(15'000)) < Millis(12'000));
        CHECK(api.pollCalls < 80);
        timeUntilServing(Millis(50));
        // If both restart, neither knows the earlier token. Without a start time, the restart of the endpoint is not noticed at once.
        if (!restartsEndpoint || (!restartsAgent && !api.endpoint.announcedStartMs.has_value())) {
            CHECK(api.lastPoll.fencingToken > before);
        }
        CHECK(api.lastPoll.fencingToken <= LARGEST_TOKEN);
    }
}

TEST_CASE_FIXTURE(AgentFixture, "no answer of the endpoint makes the agent poll without a pause")
{
    for (const auto status : {EndpointCallStatus::Accepted, EndpointCallStatus::Fenced, EndpointCallStatus::ConnectionRefused,
                              EndpointCallStatus::OtherIncarnation, EndpointCallStatus::Unhealthy, EndpointCallStatus::NoAnswer}) {
        CAPTURE(static_cast<int>(status));
        api.fault = status;
        api.firstFaultyCall = 1;
        api.lastFaultyCall = 1'000'000;
        api.pollCalls = 0;
        for (int step = 0; step < 1'000; ++step, now += Millis(1)) {
            api.executePending(now);
            agent.tick(now);
        }
        CHECK(api.pollCalls <= (status == EndpointCallStatus::Accepted ? 110 : 25));
    }
}

TEST_CASE_FIXTURE(SuccessionFixture, "a process of the endpoint whose start time is before that of the former one is served")
{
    for (const bool keepsId : {true, false}) {
        for (const bool tellsStart : {true, false}) {
            CAPTURE(keepsId);
            CAPTURE(tellsStart);
            api.endpoint.keepsId = keepsId;
            api.endpoint.wallClockOffsetMs -= 600'000;
            api.endpoint.announcedStartMs = tellsStart ? std::nullopt : std::optional<std::uint64_t>(0);
            api.endpoint.crash(now);
            now += Millis(10);
            agent.onNotice(api.endpoint.notice(now), now);
            runFor(Millis(600)); // The agent notices that the former process is gone.
            CHECK(timeUntilServing(Millis(6'000)) < Millis(4'000));
        }
    }
}

TEST_CASE_FIXTURE(AgentFixture, "runs of an endpoint that deregisters end only when they end there")
{
    for (std::uint64_t number = 1; number <= 7; ++number) {
        sendOrder(number);
    }
    runFor(Millis(20));
    agent.onNotice(makeDeregistration(api.endpoint.notice(now)), now);
    const auto first = reports();
    REQUIRE(first.size() == 2); // Those that waited.
    for (const repeat::RunReport &report : first) {
        CHECK(report.outcome() == repeat::RUN_NOT_STARTED);
        CHECK(static_cast<Reason>(report.reason()) == Reason::Leaving);
    }
    CHECK(falselyEnded() == 0);
    sendOrder(8);
    CHECK(static_cast<Reason>(reports().back().reason()) == Reason::EndpointAbsent);
    runFor(Millis(200));
    CHECK(std::ranges::count(reports(), repeat::RUN_DONE, &repeat::RunReport::outcome) == 5);
    agent.onNotice(api.endpoint.notice(now), now); // Its response was lost, and it stays.
    sendOrder(9);
    runFor(Millis(200));
    CHECK(reports().back().outcome() == repeat::RUN_DONE);
}

TEST_CASE("no run counts as ended while the endpoint has it, whichever calls fail and however")
{
    for (const auto status : {EndpointCallStatus::ConnectionRefused, EndpointCallStatus::NoAnswer, EndpointCallStatus::Fenced}) {
        for (int first = 1; first <= 8; ++first) {
            for (int step = 0; step < 6; ++step) {
                AgentFixture fixture;
                fixture.api.endpoint.clockRate = 0.98;
                fixture.api.endpoint.crash(fixture.now);
                fixture.agent.onNotice(fixture.api.endpoint.notice(fixture.now), fixture.now);
                fixture.runFor(Millis(60));
                fixture.api.endpoint.slowdown = 20; // The run outlives the fault unless its lease expires.
                fixture.api.fault = status;
                fixture.api.firstFaultyCall = fixture.api.calls + first;
                fixture.api.lastFaultyCall = fixture.api.firstFaultyCall + 1 + 30 * (step % 2);
                fixture.sendOrder(1);
                std::ptrdiff_t falselyEnded = 0;
                for (int tick = 0; tick < 150; ++tick) {
                    if (step / 2 == 1 && tick == 5) {
                        fixture.agent.onNotice(makeDeregistration(fixture.api.endpoint.notice(fixture.now)), fixture.now);
                    }
                    if (step / 2 == 2 && tick == 5) {
                        // Another endpoint announces itself here, at another address.
                        EndpointNotice other = fixture.api.endpoint.notice(fixture.now);
                        other.id = "i-other";
                        other.address = "127.0.0.1:2";
                        ++other.startUnixMs;
                        fixture.agent.onNotice(other, fixture.now);
                    }
                    fixture.runFor(Millis(10));
                    falselyEnded += fixture.falselyEnded();
                }
                CAPTURE(static_cast<int>(status));
                CAPTURE(first);
                CAPTURE(step);
                CHECK(falselyEnded == 0);
            }
        }
    }
}

TEST_CASE_FIXTURE(AgentFixture, "runs of a crashed endpoint are over when a newer process answers, or when their lease has expired")
{
    api.endpoint.slowdown = 20;
    sendOrder(1);
    runFor(Millis(40));
    api.endpoint.crash(now);
    agent.onNotice(api.endpoint.notice(now), now);
    runFor(Millis(50));
    REQUIRE(reports().size() == 1);
    CHECK(static_cast<Reason>(reports()[0].reason()) == Reason::EndpointCrashed);
    runFor(Millis(50));
    sendOrder(2);
    runFor(Millis(40));
    api.fault = EndpointCallStatus::ConnectionRefused;
    api.firstFaultyCall = 1;
    api.lastFaultyCall = 1'000'000;
    runFor(Millis(20)); // Calls in flight are answered.
    api.endpoint.crash(now);
    runFor(Millis(400));
    CHECK(reports().size() == 1);
    runFor(Millis(300));
    REQUIRE(reports().size() == 2);
    CHECK(static_cast<Reason>(reports()[1].reason()) == Reason::EndpointCrashed);
}

TEST_CASE_FIXTURE(AgentFixture, "after the acknowledgement of a drain, nothing is started and what waits is returned")
{
    for (std::uint64_t number = 1; number <= 7; ++number) {
        sendOrder(number);
    }
    runFor(Millis(20));
    api.endpoint.draining = true;
    agent.onNotice(api.endpoint.notice(now), now);
    REQUIRE(reports().size() == 2);
    CHECK(static_cast<Reason>(reports()[0].reason()) == Reason::Leaving);
    CHECK(reports()[0].outcome() == repeat::RUN_NOT_STARTED);
    const std::size_t starts = api.startTimeouts.size();
    runFor(Millis(500));
    CHECK(api.startTimeouts.size() == starts);
    CHECK(std::ranges::count(reports(), repeat::RUN_DONE, &repeat::RunReport::outcome) == 5);
}

TEST_CASE("a start that gets no answer is not sent again after the acknowledgement of a drain, at whichever try")
{
    for (int lost = 1; lost <= 4; ++lost) {
        for (int step = 0; step < 6; ++step) {
            AgentFixture fixture;
            fixture.api.startsToLose = lost;
            fixture.sendOrder(1);
            fixture.runFor(Millis(10 * step));
            fixture.api.endpoint.draining = true;
            fixture.agent.onNotice(fixture.api.endpoint.notice(fixture.now), fixture.now);
            const std::size_t starts = fixture.api.startTimeouts.size();
            fixture.runFor(Millis(1'500));
            CAPTURE(lost);
            CAPTURE(step);
            CHECK(fixture.api.startTimeouts.size() == starts);
            CHECK(fixture.agent.unfinishedRuns() == 0);
            CHECK(fixture.reports().size() == 1);
        }
    }
}

TEST_CASE_FIXTURE(AgentFixture, "a stopping agent returns the runs that wait and finishes those that were started")
{
    for (std::uint64_t number = 1; number <= 7; ++number) {
        sendOrder(number);
    }
    runFor(Millis(20));
    agent.startDraining(now);
    REQUIRE(reports().size() == 2);
    CHECK(static_cast<Reason>(reports()[0].reason()) == Reason::Leaving);
    runFor(Millis(200));
    CHECK(std::ranges::count(reports(), repeat::RUN_DONE, &repeat::RunReport::outcome) == 5);
}

TEST_CASE_FIXTURE(AgentFixture, "an endpoint on probation gets tasks of any size that it can hold, and few at a time")
{
    for (std::uint64_t number = 1; number <= 4; ++number) {
        api.fails = true;
        sendOrder(number);
        runFor(Millis(200));
    }
    api.fails = false;
    runFor(Millis(600)); // The circuit is half-open.
    const auto newest = std::find_if(recorder.sent.rbegin(), recorder.sent.rend(), [](const repeat::Message &message) {
        return message.has_load_report();
    });
    REQUIRE(newest != recorder.sent.rend());
    CHECK(newest->load_report().accepting());
    CHECK(newest->load_report().cpu_free() == FULL_CAPACITY.cpu);
    recorder.sent.clear();
    repeat::Message wide = makeOrder(10);
    wide.mutable_run_order()->set_cpu(FULL_CAPACITY.cpu);
    agent.onEntryMessage(ENTRY, wide, now);
    runFor(Millis(200));
    REQUIRE(reports().size() == 1);
    CHECK(reports()[0].outcome() == repeat::RUN_DONE);
    recorder.sent.clear();
    for (std::uint64_t number = 11; number <= 15; ++number) {
        sendOrder(number);
    }
    const auto refused = reports();
    CHECK(refused.size() >= 2);
    CHECK(refused.size() <= 4);
    CHECK(std::ranges::all_of(refused, [](const repeat::RunReport &report) {
        return static_cast<Reason>(report.reason()) == Reason::EndpointUnhealthy && report.outcome() == repeat::RUN_NOT_STARTED;
    }));
    runFor(Millis(200));
    CHECK(std::ranges::count(reports(), repeat::RUN_DONE, &repeat::RunReport::outcome) == 5 - std::ssize(refused));
}
