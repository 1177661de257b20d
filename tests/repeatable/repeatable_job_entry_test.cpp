/** @file repeatable_job_entry_test.cpp Tests of single entry decisions about repeatable jobs. */

#include "repeatable/repeatable_job_agent.h"
#include "repeatable/repeatable_job_entry.h"
#include "repeatable_job_recorder.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>

namespace
{

using namespace medlarmill;
using namespace medlarmill::fake;

struct EntryFixture
{
    EntryFixture()
        : entry({"entry", "a", Incarnation{5}}, recorder, recorder, log)
    { }

    void addAgent(std::uint32_t cpu = 16'000, Incarnation agent = AGENT)
    {
        repeat::AgentHello hello;
        hello.set_incarnation(toWire(agent));
        hello.set_name("agent");
        hello.set_zone("a");
        hello.set_evidence_ms(3'000);
        entry.onAgentUp(hello, now);
        reportLoad(cpu, 0, agent);
    }

    void reportLoad(std::uint32_t freeCpu, std::uint64_t lastOrder, Incarnation agent = AGENT)
    {
        repeat::Message message;
        repeat::LoadReport *load = message.mutable_load_report();
        load->set_stamp(toMillis(now.time_since_epoch()));
        load->set_service("desk");
        load->set_accepting(true);
        load->set_cpu_total(16'000);
        load->set_cpu_free(freeCpu);
        load->set_mem_free(4'096);
        load->set_slowdown_percent(100);
        load->set_last_order(lastOrder);
        entry.onAgentMessage(agent, message, now);
    }

    void endRun(std::uint64_t order, repeat::RunOutcome outcome, Reason reason = Reason::None, std::uint32_t attemptFloor = 0)
    {
        repeat::Message message;
        repeat::RunReport *report = message.mutable_run_report();
        report->set_order(order);
        report->set_outcome(outcome);
        report->set_reason(static_cast<std::uint32_t>(reason));
        report->set_attempt_floor(attemptFloor);
        entry.onAgentMessage(AGENT, message, now);
        entry.dispatchTasks(now);
    }

    void submit(std::uint64_t caller, const std::string &id, std::uint32_t count, std::uint32_t maxFailures = 2,
                const std::string &kind = "check")
    {
        RepeatableJob job;
        job.id = id;
        TaskGroup group;
        group.count = count;
        group.demand = {3'000, 64, 0};
        group.declaredRunTime = Millis(100);
        job.groups = {group};
        job.policy = {kind, "desk", 0, maxFailures, 1.6, Millis(60), Millis(0)};
        job.callerTimeout = Millis(2'000);
        entry.submit(CallerToken{caller}, job, now);
        entry.dispatchTasks(now);
    }

    OutputRecorder recorder;
    RecordingLog log;
    RepeatableJobEntry entry;
    Instant now = START_TIME;
};

}

TEST_CASE_FIXTURE(EntryFixture, "a job is complete when all its tasks are, and a resubmission gets the same answer")
{
    addAgent();
    submit(1, "j", 2);
    REQUIRE(recorder.orders().size() == 2);
    endRun(1, repeat::RUN_DONE);
    CHECK(recorder.answers.empty());
    endRun(2, repeat::RUN_DONE);
    CHECK(recorder.answers.at(CallerToken{1}).result == JobResult::Complete);
    submit(2, "j", 2);
    CHECK(recorder.orders().size() == 2);
    CHECK(recorder.answers.at(CallerToken{2}).result == JobResult::Complete);
}

TEST_CASE_FIXTURE(EntryFixture, "jobs that arrive before the links are up again after a pause are not refused for lack of capacity")
{
    addAgent();
    entry.onAgentDown(AGENT, now);
    for (std::uint64_t caller = 1; caller <= 4; ++caller) {
        submit(caller, "j" + std::to_string(caller), 1);
    }
    CHECK(recorder.answers.empty());
    now += Millis(20);
    addAgent(3'000);
    submit(5, "j5", 1);
    CHECK(recorder.answers.empty());
    addAgent(16'000, Incarnation{78});
    entry.dispatchTasks(now);
    CHECK(recorder.orders().size() == 5);
}

TEST_CASE_FIXTURE(EntryFixture, "the last log line of a job has its slowest agent and the retry delay")
{
    addAgent();
    submit(1, "j", 1);
    endRun(1, repeat::RUN_DONE);
    CHECK(log.lines.back().ends_with("slowest_agent=agent slowest_ms=0 retry_after_ms=0"));
}

TEST_CASE_FIXTURE(EntryFixture, "waiting, order and answer times are recorded by request kind")
{
    addAgent();
    submit(1, "j", 1);
    now += Millis(120);
    endRun(1, repeat::RUN_DONE);
    const Histogram &answers = entry.histograms().all().find("answer_complete")->second.at("check");
    CHECK(answers.count == 1);
    CHECK(answers.buckets[7] == 1); // Above 100 ms, up to 200 ms.
    CHECK(answers.sumMs == doctest::Approx(120));
    CHECK(entry.histograms().all().find("wait")->second.at("check").buckets[0] == 1);
    CHECK(entry.histograms().all().find("order")->second.at("check").count == 1);
}

TEST_CASE_FIXTURE(EntryFixture, "orders need free capacity, and orders not yet in a load report count as used")
{
    addAgent(7'000);
    submit(1, "j", 3);
    CHECK(recorder.orders().size() == 2);
    reportLoad(7'000, 0); // Sent before the agent received the orders.
    entry.dispatchTasks(now);
    CHECK(recorder.orders().size() == 2);
    reportLoad(4'000, 2);
    entry.dispatchTasks(now);
    CHECK(recorder.orders().size() == 3);
}

TEST_CASE_FIXTURE(EntryFixture, "an order may be queued at its endpoint only when no other endpoint has free capacity")
{
    addAgent(7'000);
    addAgent(4'000, Incarnation{78});
    submit(1, "j", 3);
    const std::vector<repeat::RunOrder> orders = recorder.orders();
    REQUIRE(orders.size() == 3);
    CHECK(orders[0].refuse_when_full());
    CHECK(orders[1].refuse_when_full());
    CHECK_FALSE(orders[2].refuse_when_full());
}

TEST_CASE_FIXTURE(EntryFixture,
                  "a begun job goes before jobs with earlier deadlines, and a useless one ends when none of its tasks is left")
{
    addAgent(3'000);
    submit(1, "wide", 2);
    submit(2, "short", 1);
    REQUIRE(recorder.orders().size() == 1);
    endRun(1, repeat::RUN_DONE);
    reportLoad(3'000, 1);
    entry.dispatchTasks(now);
    REQUIRE(recorder.orders().size() == 2);
    CHECK(recorder.orders()[1].submission() == "wide");
    reportLoad(0, 2);
    endRun(2, repeat::RUN_LOST, Reason::LeaseLapsed);
    // The objective is 220 ms; three times that leaves 560 ms for the start of a task of 100 ms.
    now += Millis(600);
    entry.tick(now);
    CHECK(recorder.answers.at(CallerToken{1}).result == JobResult::Abandoned);
}

TEST_CASE_FIXTURE(EntryFixture, "a run that was lost with its agent is ordered again where there is room, however late")
{
    addAgent();
    submit(1, "j", 1);
    REQUIRE(recorder.orders().size() == 1);
    entry.onAgentDown(AGENT, now);
    now += Millis(1'100);
    addAgent(16'000, Incarnation{78});
    entry.tick(now);
    CHECK(recorder.orders().size() == 2);
    CHECK(recorder.answers.empty());
}

TEST_CASE_FIXTURE(EntryFixture, "a job fails when a task reaches the failure limit of its rule; lost runs do not count")
{
    addAgent();
    submit(1, "j", 1);
    endRun(1, repeat::RUN_LOST, Reason::LeaseLapsed);
    endRun(2, repeat::RUN_LOST, Reason::NoAnswer);
    endRun(3, repeat::RUN_FAILED, Reason::TaskFailed);
    CHECK(recorder.answers.empty());
    CHECK(recorder.orders().back().attempt() == 4);
    endRun(4, repeat::RUN_FAILED, Reason::TaskFailed);
    CHECK(recorder.answers.at(CallerToken{1}).result == JobResult::Failed);
}

TEST_CASE_FIXTURE(EntryFixture, "a run refused as an old attempt is ordered again with an attempt above the reported floor")
{
    addAgent();
    submit(1, "j", 1);
    endRun(1, repeat::RUN_NOT_STARTED, Reason::OldAttempt, 17);
    CHECK(recorder.orders().back().attempt() == 18);
}

TEST_CASE_FIXTURE(EntryFixture, "a job that cannot start before its deadline is answered as not run, with a retry delay")
{
    addAgent(0);
    submit(1, "j", 1);
    now += Millis(1'000);
    reportLoad(0, 0);
    entry.tick(now);
    REQUIRE(recorder.answers.contains(CallerToken{1}));
    CHECK(recorder.answers.at(CallerToken{1}).result == JobResult::NotRun);
    CHECK(recorder.answers.at(CallerToken{1}).retryAfter >= Millis(100));
}

TEST_CASE_FIXTURE(EntryFixture, "a job with an outstanding order is never answered as not run")
{
    addAgent();
    submit(1, "j", 1);
    now += Millis(2'100);
    entry.tick(now);
    CHECK(recorder.answers.at(CallerToken{1}).result == JobResult::Abandoned);
}

TEST_CASE_FIXTURE(EntryFixture, "an entry that has reached no agent for some time answers jobs as abandoned")
{
    addAgent();
    entry.onAgentDown(AGENT, now);
    entry.tick(now);
    submit(1, "early", 1);
    CHECK(recorder.answers.empty());
    now += Millis(450);
    entry.tick(now);
    CHECK(recorder.answers.at(CallerToken{1}).result == JobResult::Abandoned);
    submit(2, "later", 1);
    CHECK(recorder.answers.at(CallerToken{2}).result == JobResult::Abandoned);
    CHECK_FALSE(entry.hasConnectedAgent());
    addAgent();
    entry.tick(now);
    submit(3, "back", 1);
    CHECK_FALSE(recorder.answers.contains(CallerToken{3}));
}

TEST_CASE_FIXTURE(EntryFixture, "an agent that is down is removed only after its leases must have expired")
{
    addAgent();
    submit(1, "j", 1);
    entry.onAgentDown(AGENT, now);
    now += Millis(1'000);
    entry.tick(now);
    CHECK(entry.placement().agents().size() == 1);
    now += Millis(100);
    entry.tick(now);
    CHECK(entry.placement().agents().empty());
}

TEST_CASE_FIXTURE(EntryFixture, "a job is cancelled when its caller disconnects")
{
    addAgent();
    submit(1, "j", 2);
    entry.onCallerDisconnected(CallerToken{1}, now);
    CHECK(entry.openJobCount() == 0);
    CHECK(recorder.sent.back().has_run_cancel());
    CHECK(recorder.sent.back().run_cancel().orders_size() == 2);
}

TEST_CASE_FIXTURE(EntryFixture, "a job is refused at once when the recent order rate means that its deadline would pass")
{
    // Capacity for five tasks; one ends every 100 ms, because other entries use the rest of the capacity.
    addAgent();
    std::uint64_t caller = 0;
    std::uint64_t ended = 0;
    int refused = 0;
    for (int step = 0; step < 40; ++step, now += Millis(10)) {
        if (step % 2 == 0) {
            ++caller;
            submit(caller, "j" + std::to_string(caller), 1);
            const auto answer = recorder.answers.find(CallerToken{caller});
            if (answer != recorder.answers.end()) {
                ++refused;
                CHECK(answer->second.result == JobResult::NotRun);
                CHECK(answer->second.reason == Reason::DeadlineUnreachable);
                CHECK(answer->second.retryAfter >= Millis(100));
                CHECK(answer->second.retryAfter <= Millis(5'000));
            }
        }
        if (step % 10 == 9) {
            endRun(++ended, repeat::RUN_DONE);
            reportLoad(3'000, ended + 4);
        } else {
            reportLoad(0, recorder.orders().size());
        }
        entry.tick(now);
    }
    CHECK(refused >= 3);
}

TEST_CASE_FIXTURE(EntryFixture, "statistics of unused request kinds are evicted")
{
    addAgent();
    for (std::uint64_t job = 1; job <= 3'000; ++job) {
        submit(job, fmt::format("j{}", job), 1, 2, fmt::format("kind{}", job));
        endRun(job, repeat::RUN_DONE);
        now += Millis(20);
        reportLoad(16'000, job);
        entry.tick(now);
    }
    CHECK(entry.openJobCount() == 0);
    CHECK(entry.measuredKindCount() <= 1'001);
}

TEST_CASE_FIXTURE(EntryFixture, "the interval of load reports grows with the number of agents")
{
    const auto interval = [this] {
        return recorder.sent.back().entry_ping().report_interval_ms();
    };
    std::uint64_t incarnation = 100;
    const auto addAgents = [&](int count) {
        for (int agent = 0; agent < count; ++agent) {
            repeat::AgentHello hello;
            hello.set_incarnation(++incarnation);
            entry.onAgentUp(hello, now);
        }
    };
    addAgents(10);
    CHECK(interval() == 10);
    addAgents(90);
    CHECK(interval() == 100);
    addAgents(900);
    // Upper limit: agents stop the runs of an entry whose newest stamp is older than the silence limit, and stamps come with reports.
    CHECK(interval() == 130);
    CHECK(Millis(3 * interval()) <= RepeatableJobAgentSettings().entrySilence);
}

TEST_CASE_FIXTURE(EntryFixture, "a draining entry accepts no jobs and answers them as abandoned")
{
    addAgent();
    entry.startDraining();
    submit(1, "j", 1);
    CHECK(entry.openJobCount() == 0);
    CHECK(recorder.answers.at(CallerToken{1}).result == JobResult::Abandoned);
}
