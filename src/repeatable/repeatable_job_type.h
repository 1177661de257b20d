/** @file repeatable_job_type.h Types of repeatable jobs: jobs whose tasks may run again from the start after a loss, never twice at one
 * time. */

#pragma once

#include "core/ids_type.h"
#include "core/reason_type.h"
#include "core/time_type.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarmill
{

/** An entry's number for one run; unique within the entry's incarnation. */
enum class OrderId : std::uint64_t {};

constexpr OrderId INVALID_ORDER_ID{0}; ///< No run.

/** Number of a job at its entry, by arrival. */
enum class JobNumber : std::uint64_t {};

/** Room that a task takes, or that an endpoint has. */
struct Resources
{
    std::uint32_t cpu = 0; ///< Thousandths of a core.
    std::uint32_t memMb = 0; ///< Memory in MiB.
    std::uint32_t gpu = 0; ///< Accelerators.

    bool operator==(const Resources &) const = default;

    /** @param available available room. @return whether this fits into it. */
    bool fitsInto(const Resources &available) const
    {
        return cpu <= available.cpu && memMb <= available.memMb && gpu <= available.gpu;
    }

    /** Takes room. @param amount how much; at most what is there is taken. */
    void subtract(const Resources &amount)
    {
        cpu -= std::min(cpu, amount.cpu);
        memMb -= std::min(memMb, amount.memMb);
        gpu -= std::min(gpu, amount.gpu);
    }

    /** Gives room back. @param amount how much. */
    void add(const Resources &amount)
    {
        cpu += amount.cpu;
        memMb += amount.memMb;
        gpu += amount.gpu;
    }
};

/** Tasks of a job that are alike and become ready together. */
struct TaskGroup
{
    std::uint32_t count = 0; ///< Number of tasks.
    Resources demand; ///< Room of one task.
    Duration declaredRunTime{0}; ///< Run time that the caller declared; 0 when it declared none.
    std::vector<std::uint32_t> dependencies; ///< Groups that must be complete first.
    std::string requiredLabel; ///< Label that the endpoint must have; empty for any.
    std::string preferredLabel; ///< Label of endpoints on which it runs faster; empty for none.
    std::uint32_t maxPerEndpoint = 0; ///< Tasks of the group that may run on one endpoint; 0 for no limit.
};

/** How jobs of one request kind are treated; from the configuration. */
struct KindPolicy
{
    std::string kind; ///< Name of the request kind.
    std::string service; ///< Endpoints that run it.
    std::uint32_t priority = 0; ///< Smaller goes first.
    std::uint32_t maxFailures = 1; ///< A task that failed so often fails its job.
    double slackFactor = 1; ///< The objective is this multiple of the longest chain of tasks, and `targetLatency` more.
    Duration targetLatency{0}; ///< See slackFactor.
    Duration timeout{0}; ///< Longest wait for the answer; 0 for no limit.
};

/** A repeatable job as a caller submitted it. */
struct RepeatableJob
{
    SubmissionId id; ///< Names the job.
    std::string spec; ///< Input of every task.
    std::vector<TaskGroup> groups; ///< Tasks.
    KindPolicy policy; ///< Treatment.
    Duration callerTimeout{0}; ///< How long the caller waits.
};

/** How a repeatable job ended. */
enum class JobResult : std::uint8_t {
    Complete, ///< Every task completed.
    Failed, ///< A task failed as often as the rule allows.
    NotRun, ///< No task has started and none will.
    Abandoned, ///< The time was up; tasks may have started, none is running any more or will start.
};

/** Answer to a repeatable job. */
struct JobOutcome
{
    JobResult result = JobResult::NotRun; ///< How it ended.
    Reason reason = Reason::None; ///< Why, when it is not complete.
    Duration retryAfter{0}; ///< For NotRun: when to come back.
};

/** Names one run of a task at an endpoint. */
struct RunName
{
    SubmissionId submission; ///< Job.
    std::uint32_t group = 0; ///< Group within the job.
    std::uint32_t index = 0; ///< Task within the group.
    std::uint32_t attempt = 0; ///< Number of the start, from 1.

    auto operator<=>(const RunName &) const = default;
};

/** What an endpoint says of itself. */
struct EndpointNotice
{
    std::string id; ///< Incarnation of the endpoint.
    std::string service; ///< Service that it belongs to.
    std::string address; ///< Where it takes calls, `number:port`.
    std::uint64_t startUnixMs = 0; ///< Start of this incarnation.
    std::uint64_t sequence = 0; ///< Grows with every notice of one incarnation.
    std::uint64_t clockMs = 0; ///< The endpoint's own steady clock.
    Resources capacity; ///< All room.
    std::vector<std::string> labels; ///< Kind and rack.
    bool draining = false; ///< It takes no new work.
    bool terminated = false; ///< It has ended as planned.
};

/** One run that an endpoint lists as present. */
struct ActiveRun
{
    RunName name; ///< The run.
    std::uint32_t progress = 0; ///< Percent of its work that is done.
};

/** How a run ended at its endpoint. */
enum class FinishKind : std::uint8_t {
    Done, ///< Completed.
    Failed, ///< The task or the endpoint failed.
    Stopped, ///< Stopped by order.
    LeaseExpired, ///< The lease expired.
    Other, ///< Ended because of another run.
};

/** One end that an endpoint lists. */
struct FinishedRun
{
    std::uint64_t sequence = 0; ///< Sequence number of the end at the endpoint.
    RunName name; ///< The run.
    FinishKind kind = FinishKind::Other; ///< How.
};

}
