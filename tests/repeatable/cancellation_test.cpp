/** @file cancellation_test.cpp Tests of jobs that are cancelled at an entry that does not hold them. */

#include "delayed_endpoint_api.h"
#include "repeatable/cancellation.h"
#include "repeatable/repeatable_job_agent.h"
#include "repeatable_job_recorder.h"

#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <optional>

namespace
{

using namespace medlarmill;
using namespace medlarmill::fake;

constexpr Incarnation A{1}; ///< Entry that holds the job.
constexpr Incarnation B{2}; ///< Entry that is asked to cancel it.
constexpr char JOB[] = "0123456789abcdef";

using Wire = std::map<std::pair<Incarnation, Incarnation>, std::deque<repeat::Message>>; ///< Open links: sender and receiver.

/** Output of one process. */
class Port : public LinkOutput, public CallerOutput
{
public:
    Port(Incarnation self, Wire &wire)
        : self_(self)
        , wire_(wire)
    { }

    void sendTo(Incarnation peer, repeat::Message message) override
    {
        const auto link = wire_.find({self_, peer});
        if (link != wire_.end()) {
            link->second.push_back(std::move(message));
        }
    }
    void resetLink(Incarnation /*peer*/) override
    {
        wantsReset = true;
    }
    void answer(CallerToken caller, const JobOutcome &outcome) override
    {
        answers[caller] = outcome;
    }

    std::map<CallerToken, JobOutcome> answers;
    bool wantsReset = false; ///< The link to the agent is to be opened anew.

private:
    Incarnation self_;
    Wire &wire_;
};

struct EntryNode
{
    EntryNode(Incarnation self, Wire &wire)
        : port(self, wire)
        , core({"entry", "a", self}, port, port, log)
        , cancellation(core, port, log)
    { }

    void onMessage(Incarnation peer, const repeat::Message &message, Instant now)
    {
        if (message.has_agent_hello()) {
            core.onAgentUp(message.agent_hello(), now);
            cancellation.onLinkUp(peer, false, now);
        } else if (message.has_job_cancel()) {
            cancellation.onJobCancel(peer, message.job_cancel(), now);
        } else if (message.has_job_cancel_reply()) {
            cancellation.onReply(peer, message.job_cancel_reply(), now);
        } else {
            core.onAgentMessage(peer, message, now);
        }
    }

    void tick(Instant now)
    {
        core.tick(now);
        cancellation.tick(now);
    }

    NullEventLog log;
    Port port;
    RepeatableJobEntry core;
    Cancellation cancellation;
    bool paused = false;
};

/** Two entries, one agent and its endpoint. */
struct CancelWorld
{
    CancelWorld()
        : a(A, wire)
        , b(B, wire)
        , agentPort(AGENT, wire)
        , agent({"agent", "a", AGENT}, agentPort, api, log)
    {
        agent.onNotice(api.endpoint.notice(now), now);
        connectAgent(A);
        connectAgent(B);
        connectEntries();
        runFor(Millis(60));
    }

    EntryNode &entry(Incarnation number)
    {
        return number == A ? a : b;
    }

    void connectAgent(Incarnation number)
    {
        wire[{number, AGENT}];
        wire[{AGENT, number}];
        agent.onEntryUp(number, now);
    }

    void disconnectAgent(Incarnation number)
    {
        wire.erase({number, AGENT});
        wire.erase({AGENT, number});
        agent.onEntryDown(number, false, now);
        entry(number).core.onAgentDown(AGENT, now);
        entry(number).cancellation.onLinkDown(AGENT, now);
    }

    void connectEntries()
    {
        wire[{A, B}];
        wire[{B, A}];
        a.cancellation.onLinkUp(B, true, now);
        b.cancellation.onLinkUp(A, true, now);
    }

    void disconnectEntries()
    {
        wire.erase({A, B});
        wire.erase({B, A});
        a.cancellation.onLinkDown(B, now);
        b.cancellation.onLinkDown(A, now);
    }

    void deliver()
    {
        for (bool moved = true; moved;) {
            moved = false;
            for (const auto &[from, to] :
                 {std::pair(A, B), std::pair(B, A), std::pair(A, AGENT), std::pair(B, AGENT), std::pair(AGENT, A), std::pair(AGENT, B)}) {
                const auto link = wire.find({from, to});
                if (link == wire.end() || link->second.empty() || (to != AGENT && entry(to).paused)) {
                    continue;
                }
                const repeat::Message message = std::move(link->second.front());
                link->second.pop_front();
                moved = true;
                if (to == AGENT) {
                    agent.onEntryMessage(from, message, now);
                } else {
                    entry(to).onMessage(from, message, now);
                }
            }
        }
    }

    void step()
    {
        api.endpoint.advance(now);
        api.deliver(now);
        for (EntryNode *node : {&a, &b}) {
            if (!node->paused) {
                node->tick(now);
            }
        }
        for (const Incarnation number : {A, B}) {
            if (std::exchange(entry(number).port.wantsReset, false)) {
                disconnectAgent(number);
                connectAgent(number);
            }
        }
        agent.tick(now);
        deliver();
        now += Millis(10);
    }

    void runFor(Duration span)
    {
        for (const Instant end = now + span; now < end;) {
            step();
        }
    }

    void submit(EntryNode &node, std::uint64_t caller)
    {
        RepeatableJob job;
        job.id = JOB;
        for (std::uint32_t step = 0; step < 10; ++step) {
            TaskGroup group;
            group.count = 1;
            group.demand = {3'000, 64, 0};
            group.declaredRunTime = Millis(100);
            if (step > 0) {
                group.dependencies = {step - 1};
            }
            job.groups.push_back(group);
        }
        job.policy = {"check", "desk", 0, 2, 1.6, Millis(60), Millis(0)};
        node.core.submit(CallerToken{caller}, job, now);
    }

    void cancelAtB(std::size_t unlinkedEntries)
    {
        cancelAnswer.reset();
        b.cancellation.cancel(
            JOB, unlinkedEntries,
            [this](CancelAnswer answer) {
                cancelAnswer = answer;
            },
            now);
    }

    Wire wire;
    NullEventLog log;
    EntryNode a;
    EntryNode b;
    Port agentPort;
    DelayedEndpointApi api;
    RepeatableJobAgent agent;
    Instant now = START_TIME;
    std::optional<CancelAnswer> cancelAnswer;
};

}

TEST_CASE("a job that is cancelled while its entry is paused is not started when the entry resumes")
{
    // Guards against further steps of the job at the entry that took it. The pause begins at each step of the job's first two tasks; the
    // link between the entries outlives the pause or not.
    for (const bool linkBreaks : {false, true}) {
        for (int pauseAt = 0; pauseAt < 25; ++pauseAt) {
            CAPTURE(linkBreaks);
            CAPTURE(pauseAt);
            CancelWorld world;
            world.submit(world.a, 1);
            world.runFor(Millis(10 * pauseAt));
            world.a.paused = true;
            world.runFor(Millis(300));
            if (linkBreaks) {
                world.disconnectEntries();
            }
            world.cancelAtB(linkBreaks ? 1 : 0);
            world.runFor(Millis(990));
            CHECK_FALSE(world.cancelAnswer.has_value());
            world.runFor(Millis(20));
            CHECK(world.cancelAnswer == CancelAnswer::Cancelled);
            const std::size_t before = world.api.oracle.starts;
            world.a.paused = false;
            if (linkBreaks) {
                world.runFor(Millis(200));
                world.connectEntries();
            }
            world.runFor(Millis(3'000));
            CHECK(world.api.oracle.starts == before);
            CHECK(world.agent.unfinishedRuns() == 0);
            CHECK(world.a.core.openJobCount() == 0);
            CHECK(world.a.port.answers.at(CallerToken{1}).result == JobResult::Abandoned);
            CHECK(world.a.port.answers.at(CallerToken{1}).reason == Reason::Cancelled);
            world.submit(world.a, 2);
            world.submit(world.b, 3);
            CHECK(world.a.port.answers.at(CallerToken{2}).result == JobResult::Abandoned);
            CHECK(world.b.port.answers.at(CallerToken{3}).reason == Reason::Cancelled);
        }
    }
}

TEST_CASE_FIXTURE(CancelWorld, "an agent that is not linked at the time of a cancellation learns of it with the link")
{
    submit(a, 1);
    runFor(Millis(50));
    a.paused = true;
    disconnectAgent(B);
    cancelAtB(0);
    runFor(Millis(100));
    CHECK_FALSE(agent.cancelledJobs().contains(JOB));
    connectAgent(B);
    runFor(Millis(50));
    CHECK(agent.cancelledJobs().contains(JOB));
    CHECK(agent.unfinishedRuns() == 0);
    const std::size_t before = api.oracle.starts;
    disconnectEntries();
    a.paused = false;
    runFor(Millis(2'000));
    CHECK(api.oracle.starts == before);
    CHECK(a.core.openJobCount() == 0);
}

TEST_CASE_FIXTURE(CancelWorld, "a cancellation is answered with no such job only when every known entry has said so")
{
    cancelAtB(0);
    CHECK_FALSE(cancelAnswer.has_value());
    runFor(Millis(20));
    CHECK(cancelAnswer == CancelAnswer::NoSuchJob);
    cancelAtB(1); // An entry that is known and not linked may hold it.
    runFor(Millis(500));
    CHECK_FALSE(cancelAnswer.has_value());
    runFor(Millis(520));
    CHECK(cancelAnswer == CancelAnswer::Cancelled);
    a.paused = true;
    cancelAtB(0);
    disconnectEntries(); // Before it has answered.
    runFor(Millis(1'020));
    CHECK(cancelAnswer == CancelAnswer::Cancelled);
    cancelAtB(0);
    CHECK(cancelAnswer == CancelAnswer::NoSuchJob);
}

TEST_CASE_FIXTURE(CancelWorld, "a job that another entry holds ends there at once")
{
    submit(a, 1);
    runFor(Millis(50));
    cancelAtB(0);
    runFor(Millis(10));
    CHECK(cancelAnswer == CancelAnswer::Cancelled);
    CHECK(a.port.answers.at(CallerToken{1}).reason == Reason::Cancelled);
    runFor(Millis(300));
    CHECK(agent.unfinishedRuns() == 0);
    CHECK(api.oracle.starts == 1);
}

TEST_CASE_FIXTURE(CancelWorld, "a run whose cancellation was lost with the link is cancelled again when the agent lists it")
{
    submit(a, 1);
    runFor(Millis(50));
    REQUIRE(agent.unfinishedRuns() == 1);
    disconnectAgent(A);
    CHECK(a.core.cancel(JOB, now));
    connectAgent(A);
    runFor(Millis(60));
    CHECK(agent.unfinishedRuns() == 0);
}

TEST_CASE_FIXTURE(CancelWorld, "cancellations of unknown jobs are limited, and one that was refused promises nothing")
{
    int refused = 0;
    for (int count = 0; count < 1'000; ++count) {
        b.cancellation.cancel(
            "unknown" + std::to_string(count), 0,
            [&refused](CancelAnswer answer) {
                refused += answer == CancelAnswer::TooMany ? 1 : 0;
            },
            now);
    }
    CHECK(refused >= 599);
    CHECK(refused <= 600);
    submit(b, 1);
    cancelAtB(0); // Its own job is cancelled all the same.
    CHECK(cancelAnswer == CancelAnswer::Cancelled);
    runFor(Millis(1'000));
    cancelAtB(0);
    runFor(Millis(20));
    CHECK(cancelAnswer == CancelAnswer::NoSuchJob);
}

TEST_CASE("cancelled jobs are forgotten after their time, and the oldest when there are too many")
{
    CancelledJobs jobs(3);
    CHECK(jobs.add("a", Millis(5'000), START_TIME));
    CHECK(jobs.add("b", Millis(500'000'000), START_TIME + Millis(1)));
    CHECK(jobs.add("c", Millis(100), START_TIME + Millis(2)));
    CHECK_FALSE(jobs.add("a", Millis(5'000), START_TIME + Millis(3)));
    CHECK(jobs.cancelledSince(START_TIME + Millis(2)) == std::vector<SubmissionId>{"c", "a"});
    CHECK(jobs.add("d", Millis(5'000), START_TIME + Millis(4)));
    CHECK_FALSE(jobs.contains("b"));
    CHECK(jobs.dropped() == 1);
    jobs.forgetOld(START_TIME + Millis(102));
    CHECK_FALSE(jobs.contains("c"));
    CHECK(jobs.size() == 2);
    CHECK(jobs.add("e", Millis(0), START_TIME));
    jobs.forgetOld(START_TIME + CANCELLATION_RETENTION - Millis(1));
    CHECK(jobs.contains("e"));
    jobs.forgetOld(START_TIME + CANCELLATION_RETENTION);
    CHECK(jobs.size() == 0);
}
