/** @file dispatcher.h Task queue and scheduler of one entry: assigns waiting tasks to the slots that agents offer. */

#pragma once

#include "core/name_map_type.h"

#include "entry_logic/job_type.h"
#include "entry_logic/quarantine.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace medlarmill
{

/** Task slots that an agent has offered to this entry; every grant uses one credit. */
struct Credits
{
    std::uint32_t general = 0; ///< Slots for any task.
    std::uint32_t shortOnly = 0; ///< Slots reserved for short tasks.

    std::uint32_t total() const
    {
        return general + shortOnly;
    }
};

/** Summary of a job with waiting tasks, sent to other entries in credit requests. */
struct WaitingJobSummary
{
    Instant rank; ///< Scheduling rank; jobs with smaller ranks go first.
    std::uint32_t tasks = 0; ///< Number of waiting tasks.
};

/** A task that has not been granted to an agent yet. */
struct WaitingTask
{
    TaskIndex index{}; ///< Position of the task in its job.
    Duration expected{0}; ///< Estimated run time.
    bool isLong = false; ///< Expected to run long; cannot use short-only credits.
};

/**
 * Scheduler with late binding: tasks wait in the queue of their service until an agent has a free slot. Teams share a service by
 * weighted fair queueing. Within a team, jobs are ordered by arrival time plus a multiple of their remaining expected work, which puts
 * small jobs first without starving large ones. All operations take logarithmic time in the number of waiting jobs and of endpoints.
 */
class Dispatcher
{
public:
    /** Registers an agent that accepts tasks. @param isLocal whether it is in the availability zone of this entry. */
    void addAgent(Incarnation agent, std::string_view service, bool isLocal);

    /** Removes an agent that no longer accepts tasks, together with its unused credits. */
    void removeAgent(Incarnation agent);

    /** Adds slots that an agent has offered; ignored for agents that are not registered. */
    void addCredits(Incarnation agent, Credits credits);

    /** Queues tasks of a job. @param weight the team's share in weighted fair queueing, at least 1. @param slots task slots of the whole
     * service, at least 1; they scale the expected duration of the job. */
    void enqueue(std::string_view service, std::string_view team, std::uint32_t weight, JobSequence job, std::vector<WaitingTask> tasks,
                 std::uint32_t slots, Instant now);

    /** Removes the waiting tasks of a job from the queue. */
    void cancel(std::string_view service, JobSequence job);

    /** Dequeues the next task and uses a credit for it. @return the task and its agent, or nothing when no task can be granted: none waits,
     * no suitable credit is left or the concurrency limit is reached. */
    std::optional<Assignment> next(std::string_view service, Instant now);

    /** @return rank of the most urgent waiting job; jobs with smaller ranks go first. Nothing when no task waits. */
    std::optional<Instant> headRank(std::string_view service) const;

    /** @param count maximum number of jobs to return. @return the most urgent waiting jobs, ordered by rank. */
    std::vector<WaitingJobSummary> mostUrgentJobs(std::string_view service, std::size_t count) const;

    /** Removes unused credits so that they can be given to another entry. @param wanted maximum number of credits. @return the credits
     * removed, by agent. */
    absl::btree_map<Incarnation, Credits> takeIdleCredits(std::string_view service, std::uint32_t wanted);

    /** Reports the result of a task to the circuit breaker of its endpoint. @param agent the endpoint's agent. @param success whether the
     * task completed. @return whether the endpoint was quarantined or released. */
    bool onTaskOutcome(Incarnation agent, bool success, Instant now);

    /** Makes quarantined endpoints usable for a probe task once their backoff has passed. */
    void tick(Instant now);

    /** Stops counting a granted task as running, because it ended or was refused. */
    void onTaskEnded(std::string_view service);

    /** Limits how many tasks of a service this entry may have granted at once. @param limit the limit, 0 for none. */
    void setConcurrencyLimit(std::string_view service, std::uint32_t limit);

    /** @return number of waiting tasks of a service. */
    std::uint32_t waiting(std::string_view service) const;

    /** @return number of waiting tasks of a team. */
    std::uint32_t teamWaiting(std::string_view service, std::string_view team) const;

    /** @return total expected run time of the waiting tasks of a service. */
    Duration backlog(std::string_view service) const;

    /** @return number of unused credits of a service; those of quarantined endpoints are not counted. */
    std::uint32_t idleCredits(std::string_view service) const;

    /** @return number of tasks of a service that were granted and have not ended. */
    std::uint32_t granted(std::string_view service) const;

    /** @return services with waiting tasks. */
    std::vector<std::string> servicesWithWaitingTasks() const;

private:
    using Rank = std::pair<std::int64_t, JobSequence>; ///< Order of jobs within a team by rank time in microseconds; smaller goes first.
    using AgentRank = std::pair<std::uint32_t, Incarnation>; ///< Order of agents by unused credits; the largest is chosen first.

    struct WaitingJob
    {
        std::string team;
        Rank rank; ///< Key of the job in the indexes of its team.
        std::int64_t arrival = 0; ///< Time at which the job entered the queue, in microseconds.
        Duration remaining{0}; ///< Total expected run time of the waiting tasks.
        std::uint32_t slots = 1; ///< Task slots of the service when the job entered the queue.
        std::deque<WaitingTask> shortTasks; ///< Longest expected run time first.
        std::deque<WaitingTask> longTasks; ///< Longest expected run time first.
    };

    struct TeamQueue
    {
        double virtualTime = 0; ///< Virtual time of weighted fair queueing: work granted divided by the weight.
        std::uint32_t weight = 1; ///< Share of the team.
        std::uint32_t waiting = 0; ///< Number of waiting tasks.
        absl::btree_set<Rank> jobsWithShort; ///< Jobs with short tasks waiting.
        absl::btree_set<Rank> jobsWithLong; ///< Jobs with long tasks waiting.
    };

    struct AgentState
    {
        std::string service; ///< Service of its endpoint.
        bool isLocal = false; ///< Whether it is in the availability zone of this entry.
        Credits credits; ///< Unused credits.
        bool quarantined = false; ///< Excluded by the circuit breaker: its credits are neither used nor given to other entries.
    };

    struct ServiceQueue
    {
        NameMap<TeamQueue> teams; ///< Queues by team name.
        absl::flat_hash_map<JobSequence, WaitingJob> jobs; ///< Jobs with waiting tasks.
        absl::btree_set<AgentRank> general; ///< Agents with general credits.
        absl::btree_set<AgentRank> shortOnly; ///< Agents with short-only credits.
        std::uint32_t credits = 0; ///< Number of unused credits of agents that are not quarantined.
        std::uint32_t waiting = 0; ///< Number of waiting tasks.
        std::uint32_t granted = 0; ///< Number of tasks that were granted and have not ended.
        std::uint32_t limit = 0; ///< Concurrency limit, 0 for none.
        Duration backlog{0}; ///< Total expected run time of the waiting tasks.
    };

    struct Choice
    {
        TeamQueue *team = nullptr; ///< Team to serve next.
        Rank rank; ///< Rank of the job to serve next.
        bool isLong = false; ///< Whether to take one of the long tasks of the job.
    };

    static AgentRank agentRank(Incarnation agent, std::uint32_t credits, bool isLocal);
    void removeFromIndex(ServiceQueue &queue, Incarnation agent, const AgentState &state);
    void addToIndex(ServiceQueue &queue, Incarnation agent, const AgentState &state);
    void updateQuarantine(Incarnation agent, AgentState &state, Instant now);
    static Incarnation chooseAgent(const absl::btree_set<AgentRank> &agents);
    static std::optional<Choice> chooseTask(ServiceQueue &queue, bool allowLong);
    static std::int64_t rankTime(const WaitingJob &job);
    static void updateJobIndex(TeamQueue &team, WaitingJob &job, JobSequence sequence);
    static WaitingTask takeTask(ServiceQueue &queue, const Choice &choice);
    const ServiceQueue *find(std::string_view service) const;

    NameMap<ServiceQueue> services_;
    absl::btree_map<Incarnation, AgentState> agents_;
    Quarantine quarantine_;
};

}
