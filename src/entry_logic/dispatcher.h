/** @file dispatcher.h Waiting tasks and slot credits of one entry: which task goes to which endpoint next. */

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

/** Slots an agent has offered to this entry. */
struct Credits
{
    std::uint32_t general = 0; ///< Slots for any task.
    std::uint32_t shortOnly = 0; ///< Slots that long tasks cannot take.

    /** @return all slots. */
    std::uint32_t total() const
    {
        return general + shortOnly;
    }
};

/** A job with waiting tasks, as another entry has to know it. */
struct WaitingJobSummary
{
    Instant rank; ///< Place in the order.
    std::uint32_t tasks = 0; ///< Tasks that wait.
};

/** A task that waits. */
struct WaitingTask
{
    TaskIndex index{}; ///< The task.
    Duration expected{0}; ///< Estimated run time.
    bool isLong = false; ///< Counts as long work.
};

/**
 * Late binding: tasks wait here until an agent has a free slot. Within a service, teams share by weighted fair queueing; within a
 * team, jobs are ordered by arrival plus a multiple of their remaining expected work, which puts small jobs first without starving large
 * ones. All operations take logarithmic time in the number of waiting jobs and of endpoints.
 */
class Dispatcher
{
public:
    /** An agent can be used. @param agent the agent. @param service its service. @param isLocal whether it is in this availability zone. */
    void addAgent(Incarnation agent, std::string_view service, bool isLocal);

    /** An agent cannot be used; its credits are void. @param agent the agent. */
    void removeAgent(Incarnation agent);

    /** An agent offered slots. @param agent the agent. @param credits how many. */
    void addCredits(Incarnation agent, Credits credits);

    /** Puts tasks of a job in the queue. @param service the service. @param team the team. @param weight the team's share. @param job the
     * job. @param tasks the tasks. @param slots slots of the whole service, at least 1. @param now the present. */
    void enqueue(std::string_view service, std::string_view team, std::uint32_t weight, JobSequence job, std::vector<WaitingTask> tasks,
                 std::uint32_t slots, Instant now);

    /** Takes the waiting tasks of a job out of the queue. @param service the service. @param job the job. */
    void cancel(std::string_view service, JobSequence job);

    /** Chooses the next task and its agent. @param service the service. @param now the present. @return the choice, or nothing when no task
     * can go. */
    std::optional<Assignment> next(std::string_view service, Instant now);

    /** @param service the service. @return rank of the most urgent waiting job; jobs with smaller ranks go first. Nothing when no task
     * waits. */
    std::optional<Instant> headRank(std::string_view service) const;

    /** @param service the service. @param count most jobs to list. @return the most urgent waiting jobs, by rank. */
    std::vector<WaitingJobSummary> mostUrgentJobs(std::string_view service, std::size_t count) const;

    /** Takes unused credits away, for another entry. @param service the service. @param wanted how many at most. @return agents with the
     * credits taken. */
    absl::btree_map<Incarnation, Credits> takeIdleCredits(std::string_view service, std::uint32_t wanted);

    /** A task ended at an endpoint; the circuit breaker may take the endpoint out or let it in. @param agent its agent. @param success
     * whether it completed. @param now the present. @return whether that changed. */
    bool onTaskOutcome(Incarnation agent, bool success, Instant now);

    /** Lets endpoints that were taken out have their trial when its time has come. @param now the present. */
    void tick(Instant now);

    /** A granted task ended or was refused. @param service the service. */
    void onTaskEnded(std::string_view service);

    /** Limits the running tasks of this entry. @param service the service. @param limit the limit, 0 for none. */
    void setConcurrencyLimit(std::string_view service, std::uint32_t limit);

    /** @param service the service. @return tasks that wait. */
    std::uint32_t waiting(std::string_view service) const;

    /** @param service the service. @param team the team. @return tasks of the team that wait. */
    std::uint32_t teamWaiting(std::string_view service, std::string_view team) const;

    /** @param service the service. @return expected run time of all waiting tasks. */
    Duration backlog(std::string_view service) const;

    /** @param service the service. @return unused credits. */
    std::uint32_t idleCredits(std::string_view service) const;

    /** @param service the service. @return tasks granted and not ended. */
    std::uint32_t granted(std::string_view service) const;

    /** @return services with waiting tasks. */
    std::vector<std::string> servicesWithWaitingTasks() const;

private:
    using Rank = std::pair<std::int64_t, JobSequence>; ///< Order of jobs within a team; smaller goes first.
    using AgentRank = std::pair<std::uint32_t, Incarnation>; ///< Order of agents by credits.

    struct WaitingJob
    {
        std::string team; ///< Team.
        Rank rank; ///< Place in the order.
        std::int64_t arrival = 0; ///< When it was put in the queue, in microseconds.
        Duration remaining{0}; ///< Expected run time of the tasks that wait.
        std::uint32_t slots = 1; ///< Slots of the service.
        std::deque<WaitingTask> shortTasks; ///< Longest expected first.
        std::deque<WaitingTask> longTasks; ///< Longest expected first.
    };

    struct TeamQueue
    {
        double virtualTime = 0; ///< Work served divided by the weight.
        std::uint32_t weight = 1; ///< Share.
        std::uint32_t waiting = 0; ///< Tasks waiting.
        absl::btree_set<Rank> jobsWithShort; ///< Jobs with short tasks waiting.
        absl::btree_set<Rank> jobsWithLong; ///< Jobs with long tasks waiting.
    };

    struct AgentState
    {
        std::string service; ///< Its service.
        bool isLocal = false; ///< Same availability zone as this entry.
        Credits credits; ///< Unused slots.
        bool quarantined = false; ///< Taken out by the circuit breaker: its credits are not used and not passed on.
    };

    struct ServiceQueue
    {
        NameMap<TeamQueue> teams; ///< Teams by name.
        absl::flat_hash_map<JobSequence, WaitingJob> jobs; ///< Jobs with waiting tasks.
        absl::btree_set<AgentRank> general; ///< Agents with general credits.
        absl::btree_set<AgentRank> shortOnly; ///< Agents with short-only credits.
        std::uint32_t credits = 0; ///< Unused credits.
        std::uint32_t waiting = 0; ///< Tasks waiting.
        std::uint32_t granted = 0; ///< Tasks granted and not ended.
        std::uint32_t limit = 0; ///< Concurrency limit, 0 for none.
        Duration backlog{0}; ///< Expected run time of the waiting tasks.
    };

    struct Choice
    {
        TeamQueue *team = nullptr; ///< Team whose turn it is.
        Rank rank; ///< Job.
        bool isLong = false; ///< From the long tasks of the job.
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
