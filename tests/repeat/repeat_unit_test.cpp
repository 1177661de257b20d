/** @file repeat_unit_test.cpp Single decisions about repeatable jobs. */

#include "fake_endpoint.h"
#include "repeat/endpoint_health.h"
#include "repeat/repeat_agent.h"
#include "repeat/repeat_entry.h"

#include <doctest/doctest.h>
#include <map>

namespace
{

using namespace medlarmill;

constexpr Instant START{Millis(1'000'000)};
constexpr Incarnation AGENT{77};

/** Records what an entry sends and answers. */
class EntryRecorder : public LinkOutput, public CallerOutput
{
public:
    void sendTo(Incarnation /*peer*/, repeat::Message message) override
    {
        sent.push_back(std::move(message));
    }
    void resetLink(Incarnation peer) override
    {
        resets.push_back(peer);
    }
    void answer(CallerToken caller, const JobOutcome &outcome) override
    {
        answers[caller] = outcome;
    }

    std::vector<repeat::RunOrder> orders() const
    {
        std::vector<repeat::RunOrder> found;
        for (const repeat::Message &message : sent) {
            if (message.has_run_order()) {
                found.push_back(message.run_order());
            }
        }
        return found;
    }

    std::vector<repeat::Message> sent;
    std::vector<Incarnation> resets;
    std::map<CallerToken, JobOutcome> answers;
};

struct EntryFixture
{
    EntryFixture()
        : entry({"entry", "a", Incarnation{5}}, recorder, recorder, log)
    { }

    void addAgent(std::uint32_t cpu = 16'000)
    {
        repeat::AgentHello hello;
        hello.set_incarnation(toWire(AGENT));
        hello.set_name("agent");
        hello.set_zone("a");
        hello.set_evidence_ms(3'000);
        entry.onAgentUp(hello, now);
        report(cpu, 0);
    }

    void report(std::uint32_t freeCpu, std::uint64_t lastOrder)
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
        entry.onAgentMessage(AGENT, message, now);
    }

    void end(std::uint64_t order, repeat::RunOutcome outcome, Reason reason = Reason::None, std::uint32_t floor = 0)
    {
        repeat::Message message;
        repeat::RunReport *report = message.mutable_run_report();
        report->set_order(order);
        report->set_outcome(outcome);
        report->set_reason(static_cast<std::uint32_t>(reason));
        report->set_attempt_floor(floor);
        entry.onAgentMessage(AGENT, message, now);
        entry.pump(now);
    }

    void submit(std::uint64_t caller, const std::string &id, std::uint32_t count, std::uint32_t maxFailures = 2)
    {
        RepeatJob job;
        job.id = id;
        TaskGroup group;
        group.count = count;
        group.demand = {3'000, 64, 0};
        group.declared = Millis(100);
        job.groups = {group};
        job.rule = {"check", "desk", 0, maxFailures, 1.6, Millis(60), Millis(0)};
        job.patience = Millis(2'000);
        entry.submit(CallerToken{caller}, job, now);
        entry.pump(now);
    }

    EntryRecorder recorder;
    NullDecisionLog log;
    RepeatEntry entry;
    Instant now = START;
};

}

TEST_CASE_FIXTURE(EntryFixture, "a job is complete when every task is, and its copy gets the same answer")
{
    addAgent();
    submit(1, "j", 2);
    REQUIRE(recorder.orders().size() == 2);
    end(1, repeat::RUN_DONE);
    CHECK(recorder.answers.empty());
    end(2, repeat::RUN_DONE);
    CHECK(recorder.answers.at(CallerToken{1}).result == JobResult::Complete);
    submit(2, "j", 2);
    CHECK(recorder.orders().size() == 2);
    CHECK(recorder.answers.at(CallerToken{2}).result == JobResult::Complete);
}

TEST_CASE_FIXTURE(EntryFixture, "no order goes out where there is no room, and orders under way count")
{
    addAgent(7'000);
    submit(1, "j", 3);
    CHECK(recorder.orders().size() == 2);
    report(7'000, 0); // Sent before the agent had the orders.
    entry.pump(now);
    CHECK(recorder.orders().size() == 2);
    report(4'000, 2);
    entry.pump(now);
    CHECK(recorder.orders().size() == 3);
}

TEST_CASE_FIXTURE(EntryFixture, "a task fails its job after as many failures as the rule allows; other losses do not count")
{
    addAgent();
    submit(1, "j", 1);
    end(1, repeat::RUN_LOST, Reason::LeaseLapsed);
    end(2, repeat::RUN_LOST, Reason::NoAnswer);
    end(3, repeat::RUN_FAILED, Reason::TaskFailed);
    CHECK(recorder.answers.empty());
    CHECK(recorder.orders().back().attempt() == 4);
    end(4, repeat::RUN_FAILED, Reason::TaskFailed);
    CHECK(recorder.answers.at(CallerToken{1}).result == JobResult::Failed);
}

TEST_CASE_FIXTURE(EntryFixture, "an attempt that the endpoint calls old is ordered again with a higher one")
{
    addAgent();
    submit(1, "j", 1);
    end(1, repeat::RUN_NOT_STARTED, Reason::OldAttempt, 17);
    CHECK(recorder.orders().back().attempt() == 18);
}

TEST_CASE_FIXTURE(EntryFixture, "a job that never started is refused as not run, with a time to come back")
{
    addAgent(0);
    submit(1, "j", 1);
    now += Millis(1'000);
    report(0, 0);
    entry.tick(now);
    REQUIRE(recorder.answers.contains(CallerToken{1}));
    CHECK(recorder.answers.at(CallerToken{1}).result == JobResult::NotRun);
    CHECK(recorder.answers.at(CallerToken{1}).retryAfter >= Millis(100));
}

TEST_CASE_FIXTURE(EntryFixture, "a job whose order is out is never called not run")
{
    addAgent();
    submit(1, "j", 1);
    now += Millis(2'100);
    entry.tick(now);
    CHECK(recorder.answers.at(CallerToken{1}).result == JobResult::Abandoned);
}

TEST_CASE_FIXTURE(EntryFixture, "an entry that reaches no agent passes jobs on at once")
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
    CHECK_FALSE(entry.reachesAgents());
    addAgent();
    entry.tick(now);
    submit(3, "back", 1);
    CHECK_FALSE(recorder.answers.contains(CallerToken{3}));
}

TEST_CASE_FIXTURE(EntryFixture, "a task of a lost agent is ordered again only after its lease is over for certain")
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

TEST_CASE_FIXTURE(EntryFixture, "a caller that goes takes its job with it")
{
    addAgent();
    submit(1, "j", 2);
    entry.onCallerGone(CallerToken{1}, now);
    CHECK(entry.open() == 0);
    CHECK(recorder.sent.back().has_run_cancel());
    CHECK(recorder.sent.back().run_cancel().orders_size() == 2);
}

TEST_CASE("the longest life of an orphan run is shorter than the time after which a caller submits again")
{
    // From the last proof of life: silence, then a lease on a clock that is 2% slow, then the stop.
    const RepeatAgentSettings agent;
    const RepeatEntrySettings entry;
    const Duration orphan = agent.entrySilence + agent.lease + agent.lease / 50 + agent.stopTime;
    CHECK(orphan < Millis(1'300));
    CHECK(orphan < entry.deadAfter);
    CHECK(agent.lease <= Millis(1'000));
}

TEST_CASE("an endpoint that fails several jobs in a row is taken out, and comes back by one run")
{
    EndpointHealth health;
    CHECK_FALSE(health.onFailure("a", START));
    CHECK_FALSE(health.onFailure("a", START)); // The same job again says nothing about the endpoint.
    CHECK(health.onFailure("b", START));
    CHECK(health.isOut(START + Millis(499)));
    CHECK_FALSE(health.isOut(START + Millis(501)));
    CHECK(health.isOnTrial());
    CHECK(health.onFailure("c", START + Millis(600)));
    CHECK(health.isOut(START + Millis(1'500)));
    health.onDone(Millis(100), Millis(100));
    CHECK_FALSE(health.isOnTrial());
}

TEST_CASE("slow runs raise the measured slowdown")
{
    EndpointHealth health;
    for (int run = 0; run < 60; ++run) {
        health.onDone(Millis(100), Millis(400));
    }
    CHECK(health.slowdown() > 3.5);
    CHECK(health.slowdown() < 4.1);
}
