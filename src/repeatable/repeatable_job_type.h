/** @file repeatable_job_type.h Types of repeatable jobs. Their tasks may be restarted from the beginning after a loss; two runs of a task
 * never overlap. */

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

/** Identifies a run order of an entry; unique within the entry's incarnation. */
enum class OrderId : std::uint64_t {};

constexpr OrderId INVALID_ORDER_ID{0}; ///< No order.

/** Sequence number of a job at its entry, in order of arrival. */
enum class JobNumber : std::uint64_t {};

/** Resources that a task needs or that an endpoint has. */
struct Resources
{
    std::uint32_t cpu = 0; ///< Thousandths of a core.
    std::uint32_t memMb = 0; ///< Memory in MiB.
    std::uint32_t gpu = 0; ///< Accelerators.

    bool operator==(const Resources &) const = default;

    /** @param available available resources. @return whether these resources fit into them. */
    bool fitsInto(const Resources &available) const
    {
        return cpu <= available.cpu && memMb <= available.memMb && gpu <= available.gpu;
    }

    /** Subtracts resources; no value goes below 0. @param amount what to subtract. */
    void subtract(const Resources &amount)
    {
        cpu -= std::min(cpu, amount.cpu);
        memMb -= std::min(memMb, amount.memMb);
        gpu -= std::min(gpu, amount.gpu);
    }

    void add(const Resources &amount)
    {
        cpu += amount.cpu;
        memMb += amount.memMb;
        gpu += amount.gpu;
    }
};

/** Tasks of a job that have the same requirements and become ready together. */
struct TaskGroup
{
    std::uint32_t count = 0; ///< Number of tasks.
    Resources demand; ///< Resources of one task.
    Duration declaredRunTime{0}; ///< Run time that the caller declared; 0 when it declared none.
    std::vector<std::uint32_t> dependencies; ///< Indexes of the groups that must complete before this one.
    std::string requiredLabel; ///< Label that the endpoint must have; empty for any.
    std::string preferredLabel; ///< Label of endpoints on which the tasks run faster; empty for none.
    std::uint32_t maxPerEndpoint = 0; ///< Tasks of the group that may run on one endpoint; 0 for no limit.
};

/** Scheduling policy for jobs of one request kind, from the configuration. */
struct KindPolicy
{
    std::string kind; ///< Name of the request kind.
    std::string service; ///< Service whose endpoints run the jobs.
    std::uint32_t priority = 0; ///< Smaller values are scheduled first.
    std::uint32_t maxFailures = 1; ///< Number of failures of one task after which its job fails.
    double slackFactor = 1; ///< The latency objective is the longest chain of dependent tasks times this, plus `targetLatency`.
    Duration targetLatency{0}; ///< See slackFactor.
    Duration timeout{0}; ///< Time limit for the answer; 0 for no limit.
    std::uint64_t configVersion = 0; ///< Version of the configuration that the policy is from.
};

/** A repeatable job as a caller submitted it. */
struct RepeatableJob
{
    SubmissionId id; ///< Id of the job.
    std::string spec; ///< Input, the same for every task.
    std::vector<TaskGroup> groups; ///< Indexed by `TaskGroup::dependencies`.
    KindPolicy policy; ///< Policy of its request kind.
    Duration callerTimeout{0}; ///< How long the caller waits for the answer; 0 for no limit.
};

/** How a repeatable job ended. */
enum class JobResult : std::uint8_t {
    Complete, ///< Every task completed.
    Failed, ///< A task failed as often as its policy allows.
    NotRun, ///< No task has started and none will.
    Abandoned, ///< Given up, for example at its deadline; tasks may have started, but none is running or will start.
};

/** Answer to a repeatable job. */
struct JobOutcome
{
    JobResult result = JobResult::NotRun;
    Reason reason = Reason::None; ///< Why the job did not complete; None for Complete.
    Duration retryAfter{0}; ///< For NotRun: time to wait before submitting again.
};

/** Identifies one run of a task at an endpoint. */
struct RunName
{
    SubmissionId submission; ///< Id of the job.
    std::uint32_t group = 0; ///< Index of the task group within the job.
    std::uint32_t index = 0; ///< Index of the task within the group.
    std::uint32_t attempt = 0; ///< Number of the attempt, from 1; later attempts have higher numbers.

    auto operator<=>(const RunName &) const = default;
};

/** Announcement in which an endpoint describes its own state. */
struct EndpointNotice
{
    std::string id; ///< Instance id; a restarted endpoint may keep it.
    std::string service; ///< Service that it belongs to.
    std::string address; ///< Address for calls, `IP:port`.
    std::uint64_t startUnixMs = 0; ///< Start time of this incarnation.
    std::uint64_t sequence = 0; ///< Increases with every announcement of this incarnation; an older announcement is ignored.
    std::uint64_t clockMs = 0; ///< The endpoint's monotonic clock.
    Resources capacity; ///< Total resources.
    std::vector<std::string> labels; ///< Labels that `TaskGroup::requiredLabel` and `preferredLabel` refer to: its kind and rack.
    bool draining = false; ///< It accepts no new runs.
    bool terminated = false; ///< It has shut down as planned.
    Duration coldLeft{0}; ///< How long it stays slow after its start; 0 when it is warm.
};

/** A run in the endpoint's list of active runs. */
struct ActiveRun
{
    RunName name; ///< The run.
    std::uint32_t progress = 0; ///< Percent of its work that is done.
};

/** How a run ended at its endpoint. */
enum class FinishKind : std::uint8_t {
    Done, ///< Completed.
    Failed, ///< The task or the endpoint failed.
    Stopped, ///< Stopped on request.
    LeaseExpired, ///< Stopped by the endpoint because the agent did not extend the lease in time.
    Other, ///< Ended in another way, for example because of another run.
};

/** A run in the endpoint's list of finished runs. */
struct FinishedRun
{
    std::uint64_t sequence = 0; ///< Sequence number in the list, in the order in which runs finished.
    RunName name; ///< The run.
    FinishKind kind = FinishKind::Other;
};

}
