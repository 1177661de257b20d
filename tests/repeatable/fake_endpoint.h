/** @file fake_endpoint.h An endpoint with leases, attempts, fencing and late orders, and the oracle that watches all of them. */

#pragma once

#include "repeatable/endpoint_port.h"

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace medlarmill::fake
{

using TaskKey = std::tuple<std::string, std::uint32_t, std::uint32_t>; ///< Job, group, index.

/** Knows only what must always hold. */
class Oracle
{
public:
    void onStart(int endpoint, const RunName &run, Instant now);
    void onEnd(int endpoint, const RunName &run, bool done, Instant now);
    void onSubmit(const std::string &id, Instant now);
    void onAnswer(const std::string &id, const RepeatableJob &job, JobResult result, Instant submittedAt, Instant now);
    void onConnectionClosed(const std::string &id);
    void onOverCapacity(int endpoint, Instant now);

    /** To be called at the end. */
    void finish();

    std::vector<std::string> violations; ///< What was broken.
    std::size_t starts = 0; ///< Runs started.
    std::size_t complete = 0; ///< Jobs answered as complete.
    std::size_t notRun = 0; ///< Jobs answered as not run.
    std::size_t abandoned = 0; ///< Jobs given up.

private:
    struct Task
    {
        std::set<int> runningOn; ///< Endpoints with a run.
        Instant lastCompletion; ///< End of the newest run that completed.
    };

    struct JobRecord
    {
        int openSubmissions = 0; ///< Submissions without an answer.
        bool started = false; ///< Any task started.
        Instant lastStart; ///< Newest start of a task.
        bool allNotRun = true; ///< Every submission so far was answered as not run.
        bool completed = false; ///< The newest submission was answered as complete.
    };

    void addViolation(std::string what, Instant now);

    std::map<TaskKey, Task> tasks_;
    std::map<std::string, JobRecord> jobs_;
};

/** State of one endpoint; time comes from outside. */
class FakeEndpoint
{
public:
    FakeEndpoint(int number, Oracle &oracle)
        : number_(number)
        , oracle_(oracle)
    { }

    /** What a start does when it is carried out. */
    EndpointAnswer start(const EndpointCall &call, const RunName &run, Duration work, bool fails, Demand demand, Instant now);
    EndpointAnswer stop(const EndpointCall &call, const RunName &run, Instant now);
    EndpointView look(const EndpointCall &call, std::uint64_t acknowledged, Instant now);

    /** Ends what has ended by now. */
    void advance(Instant now);

    /** All runs are gone; a new incarnation. */
    void crash(Instant now);

    EndpointNotice notice(Instant now);
    bool hasUnacknowledgedEnds() const
    {
        return !unacknowledgedEnds_.empty();
    }

    bool up = true; ///< Answers.
    bool draining = false; ///< Says so in its notices.
    bool enforcesCapacity = true; ///< Refuses what does not fit.
    bool stalled = false; ///< What it runs stands still.
    double clockRate = 1; ///< Speed of its clock.
    double slowdown = 1; ///< Factor on work.
    bool keepsId = false; ///< Comes back under the same id.
    Demand capacity{16'000, 4'096, 0};

private:
    struct Run
    {
        Demand demand;
        Instant startedAt;
        Instant endsAt;
        bool fails = false;
        bool stopping = false;
    };

    std::uint64_t clock(Instant now) const;
    bool isFenced(const EndpointCall &call);
    void extendLease(const EndpointCall &call);
    void endRun(const RunName &run, RunEndKind kind, Instant now);

    int number_;
    Oracle &oracle_;
    int incarnation_ = 1;
    int idIncarnation_ = 1; ///< Part of its id.
    Instant startedAt_;
    std::uint64_t fencingToken_ = 0;
    std::uint64_t leaseUntilMs_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t nextEndNumber_ = 1;
    std::map<RunName, Run> runs_;
    std::map<TaskKey, std::uint32_t> attemptFloors_; ///< Attempts up to this one are refused.
    std::vector<RunEnd> unacknowledgedEnds_;
};

}
