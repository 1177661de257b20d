/** @file repeatable_job_world_nodes.h Processes and links of a RepeatableJobWorld; internal to the simulation. */

#pragma once

#include "repeatable_job_world.h"

#include <iostream>

namespace medlarmill::fake
{

constexpr Duration NETWORK_DELAY = Millis(1); ///< One-way latency between processes.

/** Prints log lines with the virtual time when tracing is enabled. */
class TraceLog : public EventLog
{
public:
    TraceLog(std::string name, const bool &enabled, const Instant &now)
        : name_(std::move(name))
        , enabled_(enabled)
        , now_(now)
    { }

    void info(std::string_view line) override
    {
        if (enabled_) {
            std::cout << toMillis(now_.time_since_epoch()) << ' ' << name_ << ' ' << line << '\n';
        }
    }

    void warn(std::string_view line) override
    {
        info(line);
    }

private:
    std::string name_;
    const bool &enabled_;
    const Instant &now_;
};

struct RepeatableJobWorld::Link
{
    bool up = false;
    std::uint64_t generation = 0; ///< Increased by each connect and disconnect; messages of older generations are dropped.
    int cuts = 0; ///< Active faults that drop the messages of this link.
    Instant agentLastReceived;
    Instant entryLastReceived;
    Incarnation lastEntry = INVALID_INCARNATION; ///< Entry process of the latest connection.
};

struct RepeatableJobWorld::Submission
{
    std::string id;
    int entry = 0;
    Incarnation incarnation = INVALID_INCARNATION;
    int tries = 0;
    Instant submittedAt;
    Duration timeout{0};
    bool entryWasFrozen = false; ///< The deadline check is skipped.
};

struct RepeatableJobWorld::EntryNode : public LinkOutput, public CallerOutput
{
    EntryNode(RepeatableJobWorld &owner, int position)
        : world(owner)
        , number(position)
        , log("entry" + std::to_string(position), owner.trace, owner.now_)
    { }

    void sendTo(Incarnation peer, repeat::Message message) override
    {
        for (int agent = 0; agent < static_cast<int>(world.agents_.size()); ++agent) {
            if (world.agentIncarnation(agent) == peer && world.links_[agent][number].up) {
                world.deliver(agent, number, false, std::move(message));
                return;
            }
        }
    }

    void resetLink(Incarnation peer) override
    {
        for (int agent = 0; agent < static_cast<int>(world.agents_.size()); ++agent) {
            if (world.agentIncarnation(agent) == peer) {
                world.disconnect(agent, number, true, false);
            }
        }
    }

    void answer(CallerToken caller, const JobOutcome &outcome) override
    {
        world.onAnswer(static_cast<std::uint64_t>(caller), outcome);
    }

    RepeatableJobWorld &world;
    int number;
    TraceLog log;
    Incarnation incarnation = INVALID_INCARNATION;
    std::unique_ptr<RepeatableJobEntry> core;
    Instant frozenUntil;
    Instant timersFrom; ///< Timers do not run before this time.
};

struct RepeatableJobWorld::AgentNode : public LinkOutput, public EndpointApi
{
    AgentNode(RepeatableJobWorld &owner, int position)
        : world(owner)
        , number(position)
        , log("agent" + std::to_string(position), owner.trace, owner.now_)
        , endpoint(position, owner.oracle_)
    { }

    void sendTo(Incarnation peer, repeat::Message message) override
    {
        for (int entry = 0; entry < static_cast<int>(world.entries_.size()); ++entry) {
            if (world.entries_[entry]->incarnation == peer && world.links_[number][entry].up) {
                world.deliver(number, entry, true, std::move(message));
                return;
            }
        }
    }

    void resetLink(Incarnation /*peer*/) override
    { }

    /** Runs an action on the agent: postponed while the agent is frozen, dropped if its process has been replaced. */
    void schedule(Duration delay, Action action)
    {
        const Incarnation expected = incarnation;
        world.schedule(delay, [this, expected, action = std::move(action)]() mutable {
            if (incarnation != expected || core == nullptr) {
                return;
            }
            if (world.isFrozen(frozenUntil)) {
                schedule(frozenUntil - world.now_, std::move(action));
                return;
            }
            action();
        });
    }

    /** @param done receives the result of a call. @return the same, but for a process that has ended or was replaced meanwhile. */
    template<typename Result>
    std::function<void(Result)> whileThisProcessRuns(std::function<void(Result)> done) const
    {
        return [this, expected = incarnation, done = std::move(done)](const Result &result) {
            if (incarnation == expected && core != nullptr) {
                done(result);
            }
        };
    }

    /**
     * Sends a start or stop call to the endpoint, subject to the active faults.
     * @param execute executes the call at the endpoint.
     * @param done receives the answer.
     */
    void callEndpoint(const EndpointCall &call, std::function<EndpointAnswer()> execute, std::function<void(EndpointAnswer)> done)
    {
        done = whileThisProcessRuns(std::move(done));
        if (!endpoint.up || refusing > 0) {
            schedule(NETWORK_DELAY, [this, done] {
                EndpointAnswer answer;
                answer.status = EndpointCallStatus::ConnectionRefused;
                answer.at = world.now_;
                done(answer);
            });
            return;
        }
        const bool delayed = delayedCalls > 0 && world.random_() % 3 == 0;
        const bool lost = lostReplies > 0 && world.random_() % 3 == 0;
        const Duration delay = delayed ? Duration(Millis(1'500 + world.random_() % 4'000)) : NETWORK_DELAY;
        const bool answered = !delayed && !lost && unresponsive == 0;
        if (unresponsive == 0) {
            world.schedule(delay, [this, execute, done, answered] {
                const EndpointAnswer answer = execute();
                if (answered) {
                    schedule(NETWORK_DELAY, [this, done, answer] {
                        EndpointAnswer received = answer;
                        received.at = world.now_;
                        done(received);
                    });
                }
            });
        }
        if (!answered) {
            schedule(call.timeout, [this, done] {
                EndpointAnswer answer;
                answer.at = world.now_;
                done(answer);
            });
        }
    }

    void start(const EndpointCall &call, const RunName &run, const std::string & /*spec*/,
               std::function<void(EndpointAnswer)> done) override
    {
        const TaskGroup group = world.jobs_[run.submission].groups[run.group];
        const auto percent = static_cast<Duration::rep>(60 + world.random_() % 100);
        const bool fails = failing > 0 || world.random_() % 60 == 0;
        callEndpoint(
            call,
            [this, call, run, group, percent, fails] {
                const EndpointAnswer answer
                    = endpoint.start(call, run, group.declaredRunTime * percent / 100, fails, group.demand, world.now_);
                if (answer.status == EndpointCallStatus::Accepted && world.crashesEndpoint(run)) {
                    world.crashSoon(number, run);
                }
                return answer;
            },
            std::move(done));
    }

    void stop(const EndpointCall &call, const RunName &run, std::function<void(EndpointAnswer)> done) override
    {
        callEndpoint(
            call,
            [this, call, run] {
                return endpoint.stop(call, run, world.now_);
            },
            std::move(done));
    }

    void poll(const EndpointCall &call, std::uint64_t acknowledged, Millis wait, std::function<void(EndpointPollResult)> done) override
    {
        done = whileThisProcessRuns(std::move(done));
        if (!endpoint.up || refusing > 0 || unresponsive > 0) {
            const bool refused = !endpoint.up || refusing > 0;
            schedule(refused ? NETWORK_DELAY : call.timeout, [this, done, refused] {
                EndpointPollResult result;
                result.answer.at = world.now_;
                result.answer.status = refused ? EndpointCallStatus::ConnectionRefused : EndpointCallStatus::NoAnswer;
                done(result);
            });
            return;
        }
        world.schedule(NETWORK_DELAY, [this, call, acknowledged, wait, done] {
            endpoint.poll(call, acknowledged, world.now_);
            waitForEnd(call, acknowledged, world.now_ + wait, done);
        });
    }

    /** Polls until a run has ended or the wait is over, then answers the poll call. */
    void waitForEnd(const EndpointCall &call, std::uint64_t acknowledged, Instant until,
                    const std::function<void(EndpointPollResult)> &done)
    {
        endpoint.advance(world.now_);
        if (!endpoint.hasUnacknowledgedRuns() && world.now_ < until) {
            world.schedule(Millis(5), [this, call, acknowledged, until, done] {
                waitForEnd(call, acknowledged, until, done);
            });
            return;
        }
        EndpointPollResult result = endpoint.poll(call, acknowledged, world.now_);
        if (unresponsive > 0) {
            result = EndpointPollResult();
        }
        schedule(NETWORK_DELAY, [this, done, result]() mutable {
            result.answer.at = world.now_;
            done(result);
        });
    }

    RepeatableJobWorld &world;
    int number;
    TraceLog log;
    FakeEndpoint endpoint;
    Incarnation incarnation = INVALID_INCARNATION;
    std::unique_ptr<RepeatableJobAgent> core;
    Instant frozenUntil;
    Instant stopStartedAt = NEVER; ///< Start of a planned stop.
    // Numbers of active faults of each kind.
    int unresponsive = 0;
    int delayedCalls = 0;
    int lostReplies = 0;
    int failing = 0;
    int refusing = 0;
};

}
