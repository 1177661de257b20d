/** @file repeatable_job_agent_test.cpp Tests of single agent decisions about repeatable jobs. */

#include "agent_fixture.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace
{

using namespace medlarmill;
using namespace medlarmill::fake;

}

TEST_CASE_FIXTURE(AgentFixture, "a stalled run is reported as lost within 300 ms")
{
    api.endpoint.stalled = true;
    sendOrder(1);
    runFor(Millis(300));
    REQUIRE(reports().size() == 1);
    CHECK(reports()[0].outcome() == repeat::RUN_LOST);
    CHECK(static_cast<Reason>(reports()[0].reason()) == Reason::Stalled);
}

TEST_CASE_FIXTURE(AgentFixture, "the entry sets the interval of load reports; a finished run is reported at once")
{
    constexpr Incarnation OTHER{10};
    agent.onEntryUp(OTHER, now);
    const auto loadReports = [this] {
        return std::ranges::count_if(recorder.sent, [](const repeat::Message &message) {
            return message.has_load_report();
        });
    };
    const auto sendPing = [this](std::uint32_t intervalMs) {
        repeat::Message ping;
        ping.mutable_entry_ping()->set_stamp(toMillis(now.time_since_epoch()));
        ping.mutable_entry_ping()->set_report_interval_ms(intervalMs);
        agent.onEntryMessage(ENTRY, ping, now);
        agent.onEntryMessage(OTHER, ping, now);
    };
    const auto changeLoadTenTimes = [this] {
        recorder.sent.clear();
        for (int step = 0; step < 10; ++step, now += Millis(10)) {
            agent.onNotice(api.endpoint.notice(now), now);
        }
    };
    sendPing(300);
    changeLoadTenTimes();
    CHECK(loadReports() <= 2);
    sendOrder(1);
    CHECK(loadReports() <= 2);
    runFor(Millis(200));
    CHECK(reports().size() == 1);
    CHECK(loadReports() >= 1);
    sendPing(0);
    changeLoadTenTimes();
    CHECK(loadReports() >= 8);
}

TEST_CASE_FIXTURE(AgentFixture, "a released entry gets no further work, and its link is idle only when its runs have ended")
{
    const auto isAcceptingReported = [this] {
        const auto report = std::find_if(recorder.sent.rbegin(), recorder.sent.rend(), [](const repeat::Message &message) {
            return message.has_load_report();
        });
        return report != recorder.sent.rend() && report->load_report().accepting();
    };
    runFor(Millis(30));
    CHECK(isAcceptingReported());
    agent.setEntryReleased(ENTRY, true, now);
    CHECK_FALSE(isAcceptingReported());
    sendOrder(1); // It was on its way when the entry was released.
    runFor(Millis(40));
    CHECK_FALSE(agent.isEntryIdle(ENTRY, now));
    CHECK(agent.unfinishedRuns() == 1);
    runFor(Millis(200));
    CHECK(agent.unfinishedRuns() == 0);
    CHECK(reports().back().outcome() == repeat::RUN_DONE);
    CHECK_FALSE(agent.isEntryIdle(ENTRY, now));
    runFor(Millis(400));
    CHECK(agent.isEntryIdle(ENTRY, now));
    agent.setEntryReleased(ENTRY, false, now);
    CHECK(isAcceptingReported());
    CHECK_FALSE(agent.isEntryIdle(ENTRY, now));
}

TEST_CASE_FIXTURE(AgentFixture, "a full endpoint refuses orders that another endpoint can take, and queues the others")
{
    std::uint64_t number = 0;
    while (agent.freeResources().cpu >= 3'000) {
        sendOrder(++number, true);
    }
    CHECK(reports().empty());
    sendOrder(++number, true);
    REQUIRE(reports().size() == 1);
    CHECK(reports()[0].order() == number);
    CHECK(reports()[0].outcome() == repeat::RUN_NOT_STARTED);
    CHECK(static_cast<Reason>(reports()[0].reason()) == Reason::NoRoom);
    sendOrder(++number, false);
    CHECK(reports().size() == 1);
    runFor(Millis(300));
    CHECK(reports().back().order() == number);
    CHECK(reports().back().outcome() == repeat::RUN_DONE);
}

TEST_CASE_FIXTURE(AgentFixture, "nothing is started beside runs of an earlier agent process that are still stopping")
{
    api.endpoint.enforcesCapacity = false;
    EndpointCall call;
    const EndpointNotice notice = api.endpoint.notice(now);
    call.endpointId = notice.id;
    call.fencingToken = notice.startUnixMs + notice.clockMs;
    call.leaseExpiryMs = notice.clockMs + 500;
    for (std::uint32_t index = 0; index < 5; ++index) {
        const EndpointAnswer answer = api.endpoint.start(call, {"earlier", 0, index, 1}, Millis(400), false, {3'000, 64, 0}, now);
        REQUIRE(answer.status == EndpointCallStatus::Accepted);
    }
    api.pending.clear();
    RepeatableJobAgent restarted({"agent", "a", Incarnation{78}}, recorder, api, log);
    restarted.onEntryUp(ENTRY, now);
    restarted.onNotice(api.endpoint.notice(now), now);
    api.executePending(now);
    for (std::uint64_t number = 1; number <= 5; ++number) {
        restarted.onEntryMessage(ENTRY, makeOrder(number), now);
    }
    for (int step = 0; step < 30; ++step, now += Millis(10)) {
        api.endpoint.advance(now);
        api.executePending(now);
        repeat::Message ping;
        ping.mutable_entry_ping()->set_stamp(toMillis(now.time_since_epoch()));
        restarted.onEntryMessage(ENTRY, ping, now);
        restarted.tick(now);
    }
    CHECK(api.oracle.violations.empty());
    CHECK(std::ranges::count(reports(), repeat::RUN_DONE, &repeat::RunReport::outcome) == 5);
}

TEST_CASE_FIXTURE(AgentFixture, "runs that wait are handed back when the capacity shrinks, and nothing is started above it")
{
    api.endpoint.enforcesCapacity = false;
    for (std::uint64_t number = 1; number <= 7; ++number) {
        sendOrder(number);
    }
    runFor(Millis(20));
    CHECK(reports().empty());
    api.endpoint.capacity = {6'000, 4'096, 0};
    agent.onNotice(api.endpoint.notice(now), now);
    REQUIRE(reports().size() == 2);
    CHECK(reports()[0].outcome() == repeat::RUN_NOT_STARTED);
    CHECK(static_cast<Reason>(reports()[0].reason()) == Reason::NoRoom);
    sendOrder(8, true);
    CHECK(reports().size() == 3);
    runFor(Millis(200));
    sendOrder(9, true);
    sendOrder(10, true);
    sendOrder(11, true);
    runFor(Millis(200));
    CHECK(api.oracle.violations.empty());
    CHECK(std::ranges::count(reports(), repeat::RUN_DONE, &repeat::RunReport::outcome) == 7);
}

TEST_CASE_FIXTURE(AgentFixture, "a run that the same incarnation no longer lists is lost, but not counted as a crash")
{
    sendOrder(1);
    runFor(Millis(20));
    EndpointCall call;
    const EndpointNotice notice = api.endpoint.notice(now);
    call.endpointId = notice.id;
    call.fencingToken = notice.startUnixMs + notice.clockMs;
    api.endpoint.stop(call, {"j1", 0, 0, 1}, now);
    now += Millis(30);
    constexpr std::uint64_t ALL_ENDS = 100;
    api.endpoint.poll(call, ALL_ENDS, now);
    runFor(Millis(200));
    REQUIRE(reports().size() == 1);
    CHECK(reports()[0].outcome() == repeat::RUN_LOST);
    CHECK(static_cast<Reason>(reports()[0].reason()) == Reason::EndpointRestarted);
    CHECK(std::ranges::none_of(recorder.sent, &repeat::Message::has_crash_notice));
}

TEST_CASE_FIXTURE(AgentFixture, "unanswered poll calls do not make running tasks count as lost")
{
    sendOrder(1);
    runFor(Millis(30));
    api.pollsToLose = 2;
    runFor(Millis(150));
    REQUIRE(reports().size() == 1);
    CHECK(reports()[0].outcome() == repeat::RUN_DONE);
}

TEST_CASE_FIXTURE(AgentFixture, "an unanswered start call is retried within 80 ms, and its run is not reported as lost")
{
    api.startsToLose = 3;
    sendOrder(1);
    runFor(Millis(200));
    REQUIRE(reports().size() == 1);
    CHECK(reports()[0].outcome() == repeat::RUN_DONE);
    REQUIRE(api.startTimeouts.size() == 4);
    CHECK(api.startTimeouts[0] <= Millis(30));
    CHECK(api.startTimeouts[0] + api.startTimeouts[1] <= Millis(80));
}

TEST_CASE_FIXTURE(AgentFixture, "a restarted endpoint gets no start that was meant for its earlier process")
{
    sendOrder(1);
    runFor(Millis(30));
    api.endpoint.keepsId = true;
    api.endpoint.crash(now);
    now += Millis(1);
    sendOrder(2); // The agent has not seen the restart yet; labels and capacity of the new process may differ.
    api.executePending(now);
    agent.onNotice(api.endpoint.notice(now), now);
    runFor(Millis(40));
    REQUIRE(reports().size() == 2);
    CHECK(reports()[0].order() == 1);
    CHECK(reports()[0].outcome() == repeat::RUN_LOST);
    CHECK(reports()[1].order() == 2);
    CHECK(reports()[1].outcome() == repeat::RUN_NOT_STARTED);
    CHECK(static_cast<Reason>(reports()[1].reason()) == Reason::EndpointRestarted);
    CHECK(api.oracle.starts == 1);
    sendOrder(3);
    runFor(Millis(200));
    REQUIRE(reports().size() == 3);
    CHECK(reports()[2].order() == 3);
    CHECK(reports()[2].outcome() == repeat::RUN_DONE);
}

TEST_CASE_FIXTURE(AgentFixture,
                  "a refused start is not reported as not started while an earlier unanswered start call may still take effect")
{
    api.startsToLose = 1;
    sendOrder(1);
    api.executePending(now); // The first start call is lost; the second is pending.
    api.endpoint.capacity = {0, 0, 0};
    api.executePending(now);
    CHECK(reports().empty());
    CHECK(agent.unfinishedRuns() == 1);
    runFor(Millis(700));
    REQUIRE(reports().size() == 1);
    CHECK(reports()[0].outcome() == repeat::RUN_NOT_STARTED);
    CHECK(api.stopCalls >= 1);
}

TEST_CASE_FIXTURE(AgentFixture, "an order with a stale timestamp is refused as not started")
{
    repeat::Message message;
    message.mutable_run_order()->set_order(1);
    message.mutable_run_order()->set_submission("j");
    message.mutable_run_order()->set_stamp(toMillis((now - Millis(500)).time_since_epoch()));
    agent.onEntryMessage(ENTRY, message, now);
    REQUIRE(reports().size() == 1);
    CHECK(reports()[0].outcome() == repeat::RUN_NOT_STARTED);
    CHECK(static_cast<Reason>(reports()[0].reason()) == Reason::StaleLease);
}

TEST_CASE_FIXTURE(AgentFixture, "out-of-order announcements and those of other endpoints are ignored; a draining endpoint gets no runs")
{
    EndpointNotice old = api.endpoint.notice(now);
    EndpointNotice newer = api.endpoint.notice(now);
    CHECK(agent.onNotice(newer, now));
    CHECK_FALSE(agent.onNotice(old, now));
    EndpointNotice gone;
    gone.id = "i-other";
    gone.terminated = true;
    CHECK_FALSE(agent.onNotice(gone, now));
    api.endpoint.draining = true;
    CHECK(agent.onNotice(api.endpoint.notice(now), now));
    sendOrder(1);
    REQUIRE(reports().size() == 1);
    CHECK(static_cast<Reason>(reports()[0].reason()) == Reason::Leaving);
}

TEST_CASE_FIXTURE(AgentFixture, "runs of an entry that has stopped sending messages are stopped")
{
    api.endpoint.stalled = true;
    sendOrder(1);
    runFor(Millis(20));
    for (int step = 0; step < 60; ++step, now += Millis(10)) {
        api.endpoint.advance(now);
        api.executePending(now);
        agent.tick(now);
    }
    CHECK(agent.unfinishedRuns() == 0);
    CHECK(api.stopCalls >= 1);
}
