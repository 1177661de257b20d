/** @file endpoint_restart_test.cpp Tests of starts while an endpoint restarts under its id as another kind. */

#include "delayed_endpoint_api.h"
#include "repeatable/repeatable_job_agent.h"
#include "repeatable/repeatable_job_entry.h"
#include "repeatable_job_recorder.h"

#include <doctest/doctest.h>

namespace
{

using namespace medlarmill;
using namespace medlarmill::fake;

struct RestartFixture
{
    RestartFixture()
        : agent({"agent", "a", AGENT}, recorder, api, log)
    {
        agent.onEntryUp(ENTRY, now);
        firstStartMs = announce("a");
        runFor(Millis(40));
    }

    std::uint64_t announce(const std::string &label)
    {
        EndpointNotice notice = api.endpoint.notice(now);
        notice.labels = {label};
        agent.onNotice(notice, now);
        return notice.startUnixMs;
    }

    void step()
    {
        api.endpoint.advance(now);
        api.deliver(now);
        repeat::Message ping;
        ping.mutable_entry_ping()->set_stamp(toMillis(now.time_since_epoch()));
        agent.onEntryMessage(ENTRY, ping, now);
        agent.tick(now);
        now += Millis(10);
    }

    void runFor(Duration span)
    {
        for (const Instant end = now + span; now < end;) {
            step();
        }
    }

    void sendOrder(std::uint64_t number, std::uint64_t endpointStartMs)
    {
        repeat::Message message;
        repeat::RunOrder *order = message.mutable_run_order();
        order->set_order(number);
        order->set_submission("j" + std::to_string(number));
        order->set_attempt(1);
        order->set_cpu(3'000);
        order->set_mem(64);
        order->set_time_left_ms(5'000);
        order->set_expected_ms(100);
        order->set_stamp(toMillis(now.time_since_epoch()));
        order->set_endpoint_start_ms(endpointStartMs);
        agent.onEntryMessage(ENTRY, message, now);
    }

    repeat::RunReport reportOf(std::uint64_t order) const
    {
        repeat::RunReport found;
        for (const repeat::Message &message : recorder.sent) {
            if (message.has_run_report() && message.run_report().order() == order) {
                found = message.run_report();
            }
        }
        return found;
    }

    repeat::LoadReport lastLoad() const
    {
        repeat::LoadReport found;
        for (const repeat::Message &message : recorder.sent) {
            if (message.has_load_report()) {
                found = message.load_report();
            }
        }
        return found;
    }

    void checkReturned(std::uint64_t order) const
    {
        CAPTURE(order);
        CHECK(reportOf(order).outcome() == repeat::RUN_NOT_STARTED);
        CHECK(static_cast<Reason>(reportOf(order).reason()) == Reason::EndpointRestarted);
    }

    static constexpr Incarnation ENTRY{9};
    OutputRecorder recorder;
    DelayedEndpointApi api;
    NullEventLog log;
    RepeatableJobAgent agent;
    Instant now = START_TIME;
    std::uint64_t firstStartMs = 0;
};

}

TEST_CASE("orders that rely on the labels of an earlier process of the endpoint start nothing on the next one")
{
    // Guards against starts by the former labels between a list that shows the new process and its first announcement. The restart is put
    // at each step of the exchange of five orders, of which one has to wait for free resources.
    constexpr int STEPS = 14;
    for (int restartAt = 0; restartAt < STEPS; ++restartAt) {
        CAPTURE(restartAt);
        RestartFixture world;
        world.api.endpoint.keepsId = true;
        for (int step = 0; step < STEPS; ++step) {
            if (step == restartAt) {
                world.now += Millis(1);
                world.api.endpoint.crash(world.now);
            }
            if (step < 6) {
                world.sendOrder(1 + static_cast<std::uint64_t>(step), world.firstStartMs);
            }
            const std::size_t before = world.api.oracle.starts;
            world.step();
            if (step >= restartAt) {
                CHECK(world.api.oracle.starts == before);
            }
        }
        world.runFor(Millis(300));
        CHECK_FALSE(world.lastLoad().accepting());
        CHECK(world.lastLoad().endpoint_start_ms() == 0);
        world.sendOrder(20, world.firstStartMs);
        world.checkReturned(20);
        CHECK(world.agent.unfinishedRuns() == 0);
        const std::uint64_t secondStartMs = world.announce("b");
        world.runFor(Millis(200));
        CHECK(world.lastLoad().accepting());
        CHECK(world.lastLoad().endpoint_start_ms() == secondStartMs);
        CHECK(world.lastLoad().labels(0) == "b");
        world.sendOrder(21, world.firstStartMs);
        world.checkReturned(21);
        world.sendOrder(22, secondStartMs);
        world.sendOrder(23, 0);
        world.runFor(Millis(300));
        CHECK(world.reportOf(22).outcome() == repeat::RUN_DONE);
        CHECK(world.reportOf(23).outcome() == repeat::RUN_DONE);
        CHECK(world.api.oracle.violations.empty());
    }
}

TEST_CASE_FIXTURE(RestartFixture, "runs that wait at the agent go back as not started when the announcement of a newer process comes first")
{
    api.endpoint.keepsId = true;
    for (std::uint64_t order = 1; order <= 6; ++order) {
        sendOrder(order, firstStartMs);
    }
    runFor(Millis(30));
    REQUIRE(api.oracle.starts == 5);
    now += Millis(1);
    api.endpoint.crash(now);
    announce("b");
    checkReturned(6);
    runFor(Millis(400));
    CHECK(api.oracle.starts == 5);
}

TEST_CASE("an order names the process that the load report described")
{
    OutputRecorder recorder;
    NullEventLog log;
    RepeatableJobEntry entry({"entry", "a", Incarnation{5}}, recorder, recorder, log);
    repeat::AgentHello hello;
    hello.set_incarnation(toWire(AGENT));
    entry.onAgentUp(hello, START_TIME);
    repeat::Message message;
    repeat::LoadReport *load = message.mutable_load_report();
    load->set_stamp(toMillis(START_TIME.time_since_epoch()));
    load->set_service("desk");
    load->set_accepting(true);
    load->set_cpu_total(16'000);
    load->set_cpu_free(16'000);
    load->set_slowdown_percent(100);
    load->set_endpoint_start_ms(4'711);
    entry.onAgentMessage(AGENT, message, START_TIME);
    RepeatableJob job;
    job.id = "j";
    job.groups.resize(1);
    job.groups[0].count = 1;
    job.policy.service = "desk";
    entry.submit(CallerToken{1}, job, START_TIME);
    entry.dispatchTasks(START_TIME);
    REQUIRE(recorder.orders().size() == 1);
    CHECK(recorder.orders()[0].endpoint_start_ms() == 4'711);
}
