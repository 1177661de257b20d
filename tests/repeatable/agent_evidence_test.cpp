/** @file agent_evidence_test.cpp Tests of what an agent takes as evidence: fencing tokens, start times, ends of runs, drains, probation. */

#include "agent_fixture.h"

#include <doctest/doctest.h>

namespace
{

using namespace medlarmill;
using namespace medlarmill::fake;

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
