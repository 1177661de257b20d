/** @file fake_endpoint.h Simulated endpoint with leases, attempt numbers and fencing tokens, and the oracle that checks invariants. */

#pragma once

#include "repeatable/endpoint_api.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace medlarmill::fake
{

inline constexpr std::uint64_t START_UNIX_MS = 1'790'000'000'000; ///< Unix time at the start of the test clock.
inline constexpr Resources FULL_CAPACITY{16'000, 4'096, 0}; ///< Capacity of a simulated endpoint.

using TaskKey = std::tuple<std::string, std::uint32_t, std::uint32_t>; ///< Job, group, index.

/** Test oracle: checks the invariants of repeatable jobs across all endpoints and submissions. */
class Oracle
{
public:
    void onStart(int endpoint, const RunName &run, Instant now);
    void onEnd(int endpoint, const RunName &run, bool done, Instant now);
    void onSubmit(const std::string &id, Instant now);
    void onAnswer(const std::string &id, const RepeatableJob &job, JobResult result, Instant submittedAt, Instant now);
    void onCrash(const RunName &culprit);
    void onConnectionClosed(const std::string &id);
    void onOverCapacity(int endpoint, Instant now);

    /** Checks that need the whole history; call it after the last event. */
    void finish();

    std::vector<std::string> violations; ///< Invariants that were violated.
    std::size_t starts = 0;
    std::size_t complete = 0; ///< Submissions answered as complete.
    std::size_t notRun = 0; ///< Submissions answered as not run.
    std::size_t abandoned = 0; ///< Submissions answered as abandoned.
    std::size_t failed = 0; ///< Submissions answered as failed.
    std::size_t crashes = 0; ///< Endpoints that a task crashed.
    int mostCrashes = 0; ///< Most endpoints that one task crashed.

private:
    struct Task
    {
        std::set<int> runningOn; ///< Endpoints that run the task now.
        Instant lastCompletion; ///< End of the latest run that completed.
        int crashes = 0; ///< Endpoints that it crashed.
        int startsAfterThreeCrashes = 0;
    };

    struct JobRecord
    {
        int openSubmissions = 0; ///< Submissions without an answer.
        bool started = false; ///< At least one task has started.
        Instant lastStart; ///< Latest start of one of its tasks.
        bool allNotRun = true; ///< Every submission so far was answered as not run.
        bool completed = false; ///< An answer since the latest submission was complete.
    };

    void addViolation(std::string what, Instant now);

    std::map<TaskKey, Task> tasks_;
    std::map<std::string, JobRecord> jobs_;
};

/** Simulated endpoint; the caller passes the current time to each function. */
class FakeEndpoint
{
public:
    FakeEndpoint(int number, Oracle &oracle)
        : number_(number)
        , oracle_(oracle)
    { }

    /** Executes a start call when it arrives. @param work run time at normal speed. @param fails whether the run fails at its end. */
    EndpointAnswer start(const EndpointCall &call, const RunName &run, Duration work, bool fails, Resources demand, Instant now);
    /** Executes a stop call; the run ends at most 25 ms later. */
    EndpointAnswer stop(const EndpointCall &call, const RunName &run, Instant now);
    /** Executes a poll call. @param acknowledged ends up to this number need not be reported again. */
    EndpointPollResult poll(const EndpointCall &call, std::uint64_t acknowledged, Instant now);

    /** Ends the runs that are finished, stopped or without a valid lease. */
    void advance(Instant now);

    /** Changes the capacity. Starts that fit into the earlier one are allowed until the agent must know. @param after the new capacity.
     * @param now current time. */
    void resize(Resources after, Instant now);

    /** Loses all runs and state, and starts as a new incarnation. */
    void crash(Instant now);

    /** @return the announcement that the endpoint sends at this time. */
    EndpointNotice notice(Instant now);
    bool isRunning(const RunName &run) const
    {
        return runs_.contains(run);
    }
    bool hasUnacknowledgedRuns() const
    {
        return !unacknowledgedRuns_.empty();
    }

    bool up = true; ///< Accepts connections.
    bool draining = false; ///< Announces that it is draining.
    bool enforcesCapacity = true; ///< Refuses starts that do not fit into its free capacity.
    bool checksFencing = true; ///< Refuses calls with an older fencing token.
    bool stalled = false; ///< Runs make no progress.
    double clockRate = 1; ///< Speed of its clock relative to real time.
    double slowdown = 1; ///< Factor on run times.
    bool keepsId = false; ///< Keeps its id after the next crash.
    Resources capacity{FULL_CAPACITY};
    std::uint64_t clockStartMs = 1'000; ///< What its clock shows when a process starts; applies from the next call on.
    std::int64_t wallClockOffsetMs = 0; ///< Error of the wall clock when the next process starts.
    std::optional<std::uint64_t> announcedStartMs; ///< Replaces the start time, for example by 0 for an endpoint that does not tell it.

private:
    struct Run
    {
        Resources demand;
        Instant startedAt;
        Instant endsAt;
        bool fails = false;
        bool stopping = false;
    };

    std::uint64_t clock(Instant now) const;
    /** Raises the fencing token to that of the call. @return whether the call has an older token and must be refused. */
    bool isFenced(const EndpointCall &call);
    void extendLease(const EndpointCall &call);
    void endRun(const RunName &run, FinishKind kind, Instant now);

    int number_;
    Oracle &oracle_;
    Resources allowedCapacity_{FULL_CAPACITY}; ///< The larger of the capacities before and after the last change.
    Instant allowedUntil_; ///< Until then it counts instead of the capacity.
    int incarnation_ = 1;
    int idIncarnation_ = 1; ///< Incarnation number in its id.
    Instant startedAt_;
    std::uint64_t startUnixMs_{START_UNIX_MS};
    std::uint64_t fencingToken_ = 0;
    std::uint64_t leaseExpiryMs_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t nextEndSequence_ = 1;
    std::map<RunName, Run> runs_;
    std::map<TaskKey, std::uint32_t> attemptFloors_; ///< Starts with an attempt up to this one are refused.
    std::vector<FinishedRun> unacknowledgedRuns_;
};

}
