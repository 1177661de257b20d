/** @file agent_evidence_test.cpp Tests of what an agent takes as evidence: fencing tokens, start times, ends of runs, drains, probation. */

#include "agent_fixture.h"

#include <doctest/doctest.h>

namespace
{

using namespace medlarmill;
using namespace medlarmill::fake;

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
