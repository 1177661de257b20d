/** @file repeatable_job_entry.h Decisions of an entry about repeatable jobs: admission, order, placement, retries, answers. */

#pragma once

#include "core/counters.h"
#include "core/histograms.h"
#include "core/name_map_type.h"
#include "repeatable/drain_rate.h"
#include "repeatable/event_log.h"
#include "repeatable/placement.h"
#include "repeatable/repeatable_job_output.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <deque>
#include <optional>
#include <vector>

namespace medlarmill
{

/** Settings of a RepeatableJobEntry. */
struct RepeatableJobEntrySettings
{
    std::string name; ///< Name of the entry.
    std::string zone; ///< Availability zone.
    Incarnation incarnation = INVALID_INCARNATION; ///< This life.
    Duration agentLossTimeout
        = Millis(1'050); ///< After so long without a proof of life from here, no run ordered here is alive at an agent.
    std::size_t maxJobs = 20'000; ///< Jobs that may wait for their end.
    double loadReportsPerSecond = 1'000; ///< Load reports that it asks of all agents together.
};

/**
 * State machine of one entry for repeatable jobs. Each entry decides alone on the jobs that its callers hand in; a task is ordered again
 * only after its last run is over for certain.
 */
class RepeatableJobEntry
{
public:
    /** @param settings the settings. @param links sends to agents. @param callers answers callers. @param log receives decisions. The three
     * must outlive the entry. */
    RepeatableJobEntry(RepeatableJobEntrySettings settings, LinkOutput &links, CallerOutput &callers, EventLog &log);

    /** A caller hands a job in. @param caller the caller. @param job the job. @param now the present. */
    void submit(CallerToken caller, RepeatableJob job, Instant now);

    /** A caller closed its connection. @param caller the caller. @param now the present. */
    void onCallerDisconnected(CallerToken caller, Instant now);

    /** Cancels a job. @param id the job. @param now the present. @return whether it was known and not over. */
    bool cancel(const SubmissionId &id, Instant now);

    /** @param id a job. @return whether any of its tasks was ordered; nothing when the job is not known. */
    std::optional<bool> hasOrderedTasks(const SubmissionId &id) const;

    /** @param kind a request kind. @return its jobs of which no task was ordered. */
    std::size_t pendingJobCount(std::string_view kind) const;

    /** A link to an agent is up. @param hello its first message. @param now the present. */
    void onAgentUp(const repeat::AgentHello &hello, Instant now);

    /** A link is down. @param agent the agent. @param now the present. */
    void onAgentDown(Incarnation agent, Instant now);

    /** A message arrived. @param agent the sender. @param message the message. @param now the present. */
    void onAgentMessage(Incarnation agent, const repeat::Message &message, Instant now);

    /** Messages of one turn have been handed in: orders what can be ordered. @param now the present. */
    void dispatchTasks(Instant now);

    /** Time passed. @param now the present. */
    void tick(Instant now);

    /** Takes no further jobs. */
    void startDraining()
    {
        draining_ = true;
    }

    /** Answers every open job at once. @param now the present. */
    void abandonAllJobs(Instant now);

    /** @return whether an agent is in reach. */
    bool hasConnectedAgent() const;

    /** @return jobs that are not over. */
    std::size_t openJobCount() const
    {
        return jobs_.size();
    }

    /** @return request kinds of which measurements are kept. */
    std::size_t measuredKindCount() const
    {
        return kindStats_.size();
    }

    /** @return what is known of the endpoints. */
    const Placement &placement() const
    {
        return placement_;
    }

    /** @return event counters. */
    const Counters &counters() const
    {
        return counters_;
    }

    /** @return distributions of waiting, running and answering. */
    const Histograms &histograms() const
    {
        return histograms_;
    }

private:
    enum class TaskState : std::uint8_t {
        Blocked, ///< An earlier group is not complete.
        Waiting, ///< Waits for room.
        Ordered, ///< An order is out.
        Done, ///< Completed.
    };

    struct RepeatableJobTask
    {
        std::uint32_t group = 0; ///< Group.
        std::uint32_t index = 0; ///< Within the group.
        TaskState state = TaskState::Blocked; ///< Where it stands.
        std::uint32_t attempt = 0; ///< Number of the newest start.
        std::uint32_t failures = 0; ///< Ends as failed.
        std::uint32_t losses = 0; ///< Runs lost for other causes.
        Incarnation avoidedAgent = INVALID_INCARNATION; ///< Agent of the newest run that was lost or failed.
        OrderId orderId = INVALID_ORDER_ID; ///< When ordered.
        Incarnation agent = INVALID_INCARNATION; ///< When ordered.
        Instant notBefore; ///< It is not ordered before.
    };

    struct Job
    {
        RepeatableJob submission; ///< As submitted.
        std::vector<CallerToken> callers; ///< Who waits.
        std::vector<RepeatableJobTask> tasks; ///< All tasks.
        std::vector<std::uint32_t> unfinishedByGroup; ///< Tasks of each group that are not done.
        std::vector<absl::btree_map<Incarnation, std::uint32_t>> groupTasksByAgent; ///< Ordered tasks of each group at each agent.
        std::uint32_t unfinishedTasks = 0; ///< Tasks that are not done.
        std::uint32_t waitingTasks = 0; ///< Tasks in state Waiting.
        Instant arrivedAt; ///< When it came.
        Instant deadline; ///< The caller does not wait longer.
        Instant latestStart; ///< A start after this instant misses the objective.
        Instant latestUsefulStart; ///< A start after this instant earns nothing.
        bool mayHaveStarted = false; ///< An order went out and was not refused as not started.
        bool anyTaskOrdered = false; ///< An order went out.
        std::string slowestAgent; ///< Agent of the longest run that completed.
        Duration slowestRun{0}; ///< That run's time.
    };

    using JobRank = std::pair<Instant, JobNumber>; ///< Order of waiting jobs; smaller goes first.

    struct OrderRef
    {
        JobNumber job{}; ///< Its job; may be over.
        std::uint32_t task = 0; ///< Position in the job's tasks.
        Incarnation agent = INVALID_INCARNATION; ///< Where.
        Instant sentAt; ///< When.
    };

    struct KindStats
    {
        double runTimeRatio = 1; ///< Measured run time against declared run time.
        std::size_t pendingJobs = 0; ///< Jobs of which no task was ordered.
    };

    Reason checkAdmission(const RepeatableJob &job, Instant now, Duration *retryAfter) const;
    Duration responseTimeObjective(const RepeatableJob &job, Duration criticalPath) const;
    Duration expectedRunTime(const RepeatableJob &job, const TaskGroup &group) const;
    Duration criticalPathTime(const RepeatableJob &job) const;
    double unorderedWork(const Job &job) const;
    Duration estimateQueueingDelay(std::string_view service, Instant latestStart) const;
    void updateDrainRates(Instant now);
    void unblockTasks(Job &job);
    bool dispatchJob(JobNumber number, Job &job, Instant now);
    bool placeTasks(JobNumber number, Job &job, Instant now, std::string &placedTasks);
    bool isIsolated(Instant now) const;
    void sendOrder(JobNumber number, Job &job, std::uint32_t position, Incarnation agent, Instant now);
    void onRunReport(Incarnation agent, const repeat::RunReport &report, Instant now);
    void onTaskCompleted(JobNumber number, Job &job, RepeatableJobTask &task, Instant now);
    void retryTaskOrFailJob(JobNumber number, Job &job, RepeatableJobTask &task, const repeat::RunReport &report, Instant now);
    void requeueTask(JobNumber number, Job &job, RepeatableJobTask &task);
    void onAgentLost(Incarnation agent, Instant now);
    void finishJob(JobNumber number, JobResult result, Reason reason, Instant now, Duration retryAfter = Duration(0));
    void refuseJob(CallerToken caller, const RepeatableJob &job, Reason reason, Duration retryAfter);
    void sendPing(Incarnation incarnation, AgentStatus &agent, Instant now);
    Duration loadReportInterval() const;
    void checkAgents(Instant now);
    void checkJobs(Instant now);
    JobRank rankOf(JobNumber number, const Job &job) const;

    RepeatableJobEntrySettings settings_;
    LinkOutput &links_;
    CallerOutput &callers_;
    EventLog &log_;
    Placement placement_;
    absl::btree_map<JobNumber, Job> jobs_;
    absl::flat_hash_map<SubmissionId, JobNumber> jobNumberById_;
    absl::flat_hash_map<CallerToken, JobNumber> jobNumberByCaller_;
    absl::btree_set<JobRank> onTimeQueue_; ///< Jobs with waiting tasks that can still meet their objective, by latest start.
    absl::btree_set<JobRank> lateQueue_; ///< Jobs with waiting tasks that cannot.
    absl::flat_hash_map<OrderId, OrderRef> orders_; ///< Orders that are not over.
    absl::flat_hash_map<SubmissionId, JobResult> recentResults_; ///< Recent answers; a copy of the request gets the same.
    std::deque<std::pair<Instant, SubmissionId>> recentResultTimes_;
    NameMap<KindStats> kindStats_;
    NameMap<DrainRate> drainRates_; ///< By service.
    std::uint64_t nextJobNumber_ = 1;
    std::uint64_t nextOrderId_ = 1;
    bool draining_ = false;
    Instant isolatedSince_ = NEVER - std::chrono::hours(1); ///< Since when no agent has been in reach; far ahead while one is.
    Instant nextJobCheck_;
    Counters counters_;
    Histograms histograms_;
};

}
