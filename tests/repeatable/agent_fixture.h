/** @file agent_fixture.h One agent with a simulated endpoint whose calls are carried out step by step. */

#pragma once

#include "fake_endpoint.h"
#include "repeatable/repeatable_job_agent.h"
#include "repeatable_job_recorder.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace medlarmill::fake
{

/** Interface to a simulated endpoint that holds calls back until executePending(). */
class SteppedEndpointApi : public EndpointApi
{
public:
    void start(const EndpointCall &call, const RunName &run, const std::string & /*spec*/,
               std::function<void(EndpointAnswer)> done) override
    {
        startTimeouts.push_back(call.timeout);
        if (injectFault(done)) {
            return;
        }
        if (startsToLose > 0) {
            --startsToLose;
            pending.emplace_back([done](Instant now) {
                EndpointAnswer answer;
                answer.at = now;
                done(answer);
            });
            return;
        }
        pending.emplace_back([this, call, run, done](Instant now) {
            done(endpoint.start(call, run, Millis(100), fails, {3'000, 64, 0}, now));
        });
    }
    void stop(const EndpointCall &call, const RunName &run, std::function<void(EndpointAnswer)> done) override
    {
        ++stopCalls;
        if (injectFault(done)) {
            return;
        }
        pending.emplace_back([this, call, run, done](Instant now) {
            done(endpoint.stop(call, run, now));
        });
    }
    void poll(const EndpointCall &call, std::uint64_t acknowledged, Millis /*wait*/, std::function<void(EndpointPollResult)> done) override
    {
        ++pollCalls;
        lastPoll = call;
        const auto toPollResult = [done](const EndpointAnswer &answer) {
            EndpointPollResult result;
            result.answer = answer;
            done(result);
        };
        if (injectFault(toPollResult)) {
            return;
        }
        const bool lost = pollsToLose > 0 && pollsToLose-- > 0;
        pending.emplace_back([this, call, acknowledged, done, lost](Instant now) {
            EndpointPollResult result = endpoint.poll(call, acknowledged, now);
            if (lost) {
                result = EndpointPollResult();
                result.answer.at = now;
            }
            done(result);
        });
    }
    void executePending(Instant now)
    {
        for (const auto &call : std::exchange(pending, {})) {
            call(now);
        }
    }

    /** @param done receives the injected answer. @return whether this call is not carried out. */
    bool injectFault(const std::function<void(EndpointAnswer)> &done)
    {
        const int number = ++calls;
        if (number < firstFaultyCall || number > lastFaultyCall) {
            return false;
        }
        pending.emplace_back([this, done](Instant now) {
            EndpointAnswer answer;
            answer.status = fault;
            answer.at = now;
            done(answer);
        });
        return true;
    }

    fake::Oracle oracle;
    fake::FakeEndpoint endpoint{1, oracle};
    std::vector<std::function<void(Instant)>> pending;
    int stopCalls = 0;
    int pollCalls = 0;
    int pollsToLose = 0; ///< Poll calls whose answers will be lost.
    bool fails = false; ///< Whether runs that are started now fail at their end.
    int startsToLose = 0; ///< Start calls that will be lost.
    int calls = 0; ///< Calls of any kind.
    int firstFaultyCall = 0; ///< Number of the first call that gets `fault` as its answer and is not carried out; none by default.
    int lastFaultyCall = -1;
    EndpointCallStatus fault = EndpointCallStatus::NoAnswer;
    EndpointCall lastPoll; ///< Parameters of the latest poll call.
    std::vector<Duration> startTimeouts; ///< Timeouts of the start calls, in order.
};

struct AgentFixture
{
    AgentFixture()
        : agent({"agent", "a", AGENT}, recorder, api, log)
    {
        agent.onEntryUp(ENTRY, now);
        agent.onNotice(api.endpoint.notice(now), now);
        runFor(Millis(40));
    }

    /** Advances the clock in steps of 10 ms; the entry sends a ping at each step. */
    void runFor(Duration span)
    {
        for (const Instant end = now + span; now < end; now += Millis(10)) {
            api.endpoint.advance(now);
            api.executePending(now);
            repeat::Message ping;
            ping.mutable_entry_ping()->set_stamp(toMillis(now.time_since_epoch()));
            agent.onEntryMessage(ENTRY, ping, now);
            agent.tick(now);
        }
    }

    /** @return runs that were reported as over although the endpoint has them. */
    std::ptrdiff_t falselyEnded() const
    {
        const auto reported = reports();
        return std::ranges::count_if(reported, [this](const repeat::RunReport &report) {
            return api.endpoint.isRunning({"j" + std::to_string(report.order()), 0, 0, 1});
        });
    }

    /** Sends an order for one task of 100 ms as the entry. */
    void sendOrder(std::uint64_t number, bool refuseWhenFull = false)
    {
        agent.onEntryMessage(ENTRY, makeOrder(number, refuseWhenFull), now);
    }

    repeat::Message makeOrder(std::uint64_t number, bool refuseWhenFull = false) const
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
        order->set_refuse_when_full(refuseWhenFull);
        return message;
    }

    std::vector<repeat::RunReport> reports() const
    {
        std::vector<repeat::RunReport> result;
        for (const repeat::Message &message : recorder.sent) {
            if (message.has_run_report()) {
                result.push_back(message.run_report());
            }
        }
        return result;
    }

    static constexpr Incarnation ENTRY{9};
    OutputRecorder recorder;
    SteppedEndpointApi api;
    NullEventLog log;
    RepeatableJobAgent agent;
    Instant now = START_TIME;
};

}
