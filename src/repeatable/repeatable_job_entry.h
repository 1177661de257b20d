/** @file repeatable_job_entry.h Scheduling of repeatable jobs at an entry: admission, queueing, placement, retries and answers. */

#pragma once

#include "core/counters.h"
#include "core/histograms.h"
#include "core/name_map_type.h"
#include "repeatable/admission.h"
#include "repeatable/cancelled_jobs.h"
#include "repeatable/crash_records.h"
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
    std::string zone; ///< Availability zone of the entry.
    Incarnation incarnation = INVALID_INCARNATION; ///< Incarnation of the entry process.
    Duration agentLossTimeout = Millis(1'050); ///< After so long without a stamp from here, an agent has ended all runs of this entry.
    std::size_t maxJobs = 20'000; ///< Maximum number of open jobs; further jobs are refused.
    Duration maxLoadReportInterval = Millis(130); ///< Longest time between load reports of an agent; see RepeatableJobTiming.
    double coldExcess = 1; ///< Ratio of run time at an endpoint that is still cold to run time at a warm one.
    double loadReportsPerSecond = 1'000; ///< Target for the total rate of load reports from all agents.
};

/**
 * Scheduler of one entry for repeatable jobs. Entries do not coordinate: each one schedules the jobs of its own callers. An order
 * (RunOrder) asks an agent to run one task. A task is ordered again only when its previous run has certainly ended, so its runs never
 * overlap.
 */
class RepeatableJobEntry
{
public:
    /** @param settings the settings. @param links sends messages to agents. @param callers sends answers to callers. @param log receives a
     * line for each decision. The last three must outlive the entry. */
    RepeatableJobEntry(RepeatableJobEntrySettings settings, LinkOutput &links, CallerOutput &callers, EventLog &log);

    /** Admits or refuses a job. A job with the id of an open job joins it; one with the id of a recently answered job gets the same answer.
     * @param caller the caller. @param job the job. @param now current time. */
    void submit(CallerToken caller, RepeatableJob job, Instant now);

    /** Abandons the job of a caller that closed its connection, unless other callers wait for it. @param caller the caller. @param now
     * current time. */
    void onCallerDisconnected(CallerToken caller, Instant now);

    /** Cancels a job. @param id id of the job. @param now current time. @return whether the job was open. */
    bool cancel(const SubmissionId &id, Instant now);

    /** A job was cancelled here or at another entry: ends it if it is open, and refuses it while the cancellation is remembered. @param id
     * id of the job. @param keep how long it is remembered. @param now current time. @return whether the job was open. */
    bool onJobCancelled(const SubmissionId &id, Duration keep, Instant now);

    /** @return the cancelled jobs that are remembered. */
    const CancelledJobs &cancelledJobs() const
    {
        return cancelled_;
    }

    /** @param id id of a job. @return whether any of its tasks has been ordered; nullopt when the job is not open. */
    std::optional<bool> hasOrderedTasks(const SubmissionId &id) const;

    /** @param id id of a job. @return whether the job is open, its result is retained or it was given up, so that it may have run. */
    bool isKnown(const SubmissionId &id) const
    {
        return jobNumberById_.contains(id) || recentResults_.contains(id) || crashRecords_.isGivenUp(id);
    }

    /** @param kind a request kind. @return number of its open jobs of which no task has been ordered. */
    std::size_t pendingJobCount(std::string_view kind) const;

    /** Adds or updates an agent whose link has come up, and resolves the orders that its hello reports as ended or does not list.
     * @param hello first message on the link. @param now current time. */
    void onAgentUp(const repeat::AgentHello &hello, Instant now);

    /** Marks the link of an agent as down; its runs count as lost only after `agentLossTimeout`. @param agent the agent. @param now current
     * time. */
    void onAgentDown(Incarnation agent, Instant now);

    /** Handles a message from an agent. @param agent the sender. @param message the message. @param now current time. */
    void onAgentMessage(Incarnation agent, const repeat::Message &message, Instant now);

    /** Takes in crashes of endpoints and gives up the jobs that caused them. @param notice the crashes. @param now current time. */
    void onCrashNotice(const repeat::CrashNotice &notice, Instant now);

    /** @return the crashes with suspects that are remembered, for an entry that has just been linked. */
    repeat::CrashNotice crashNotice() const;

    /** Orders nothing in evacuated availability zones from now on, nor counts their capacity. @param zones names of the zones. */
    void setEvacuatedZones(absl::btree_set<std::string> zones)
    {
        placement_.setEvacuatedZones(std::move(zones));
    }

    /** Orders waiting tasks for which there is free capacity; to be called after each batch of events. @param now current time. */
    void dispatchTasks(Instant now);

    /** Checks deadlines and time-outs, and orders waiting tasks. @param now current time. */
    void tick(Instant now);

    /** Accepts no new jobs from now on; their callers are sent to other entries. */
    void startDraining()
    {
        draining_ = true;
    }

    /** Ends every open job at once and answers its callers. @param now current time. */
    void abandonAllJobs(Instant now);

    /** @return whether the link to at least one agent is up. */
    bool hasConnectedAgent() const;

    /** @return number of jobs that have not ended. */
    std::size_t openJobCount() const
    {
        return jobs_.size();
    }

    /** @return number of request kinds for which measurements are kept. */
    std::size_t measuredKindCount() const
    {
        return kindStats_.size();
    }

    /** @return state of the agents and their endpoints. */
    const Placement &placement() const
    {
        return placement_;
    }

    /** @return event counters. */
    const Counters &counters() const
    {
        return counters_;
    }

    /** @return histograms of waiting, run and response times. */
    const Histograms &histograms() const
    {
        return histograms_;
    }

private:
    enum class TaskState : std::uint8_t {
        Blocked, ///< A group that it depends on is not complete.
        Waiting, ///< Ready to be ordered; waits for free capacity.
        Ordered, ///< An order has been sent and has not ended.
        Done, ///< Completed.
    };

    struct RepeatableJobTask
    {
        std::uint32_t group = 0; ///< Index of its group in the job.
        std::uint32_t index = 0; ///< Index of the task in its group.
        TaskState state = TaskState::Blocked; ///< State of the task.
        std::uint32_t attempt = 0; ///< Attempt number of the newest order.
        std::uint32_t failures = 0; ///< Number of runs that failed.
        Incarnation avoidedAgent = INVALID_INCARNATION; ///< Agent of the newest run that failed, was lost or was refused by the endpoint.
        OrderId orderId = INVALID_ORDER_ID; ///< Newest order.
        Incarnation agent = INVALID_INCARNATION; ///< Agent of the newest order.
    };

    struct Job
    {
        RepeatableJob submission; ///< The job as submitted.
        std::vector<CallerToken> callers; ///< Callers that wait for the answer.
        std::vector<RepeatableJobTask> tasks; ///< Tasks of all groups, in the order of the groups.
        std::vector<std::uint32_t> unfinishedByGroup; ///< Number of unfinished tasks of each group.
        std::vector<absl::btree_map<Incarnation, std::uint32_t>> groupTasksByAgent; ///< Ordered tasks per group and agent.
        std::uint32_t unfinishedTasks = 0; ///< Number of tasks that are not done.
        std::uint32_t waitingTasks = 0; ///< Number of tasks in state Waiting.
        Instant arrivedAt; ///< When the job was submitted.
        Instant deadline; ///< Time at which the caller stops waiting; NEVER without a limit.
        Instant latestStart; ///< Latest start that still meets the response time objective.
        Instant latestUsefulStart; ///< Latest start with which the answer is still useful to the caller.
        bool mayHaveStarted = false; ///< An order ended with an outcome other than RUN_NOT_STARTED.
        bool anyTaskOrdered = false; ///< At least one order has been sent.
        bool isSlackJudged = false; ///< It has counted for the slack share, or a run of it failed or was lost and it does not count.
        std::string slowestAgent; ///< Agent of the longest run that completed.
        Duration slowestRun{0}; ///< Duration of that run.
    };

    using JobRank = std::pair<Instant, JobNumber>; ///< Sort key of the job queues; jobs with smaller keys go first.

    struct OrderRef
    {
        JobNumber job{}; ///< Job of the ordered task; it may have ended.
        std::uint32_t task = 0; ///< Index in Job::tasks.
        Incarnation agent = INVALID_INCARNATION; ///< Agent that the order was sent to.
        Instant sentAt; ///< When the order was sent.
    };

    struct KindStats
    {
        double runTimeRatio = 1; ///< Moving average of the ratio of measured to declared run time.
        std::size_t pendingJobs = 0; ///< Number of open jobs of which no task has been ordered.
    };

    /** Result of the check of a new job. */
    struct Admission
    {
        Reason refusal = Reason::None; ///< None when the job is admitted.
        Duration predictedWait{0}; ///< Time until its last task is ordered, as predicted; 0 without a prediction.
        Duration retryAfter{0}; ///< For a refused job: time to wait before submitting again.
    };

    Admission checkNewJob(const RepeatableJob &job, Instant now) const;
    bool isPlacedAtOnce(const RepeatableJob &job, Instant latestStart) const;
    Duration responseTimeObjective(const RepeatableJob &job, Duration criticalPath) const;
    Duration expectedRunTime(const RepeatableJob &job, const TaskGroup &group) const;
    Duration criticalPathTime(const RepeatableJob &job) const;
    Duration estimateQueueingDelay(std::string_view service) const;
    std::vector<QueuedWork> queuedWork(std::string_view service, std::string_view label) const;
    void unblockTasks(Job &job);
    void dispatchQueue(absl::btree_set<JobRank> &queue, Instant now);
    bool dispatchJob(JobNumber number, Job &job, Instant now);
    bool placeTasks(JobNumber number, Job &job, Instant now, std::string &placedTasks);
    bool isIsolated(Instant now) const;
    bool isCapacityKnown(Instant now) const;
    static bool hasOrder(const Job &job);
    void sendOrder(JobNumber number, Job &job, std::uint32_t position, const PlacementChoice &choice, Instant now);
    void onRunReport(Incarnation agent, const repeat::RunReport &report, Instant now);
    void onTaskCompleted(JobNumber number, Job &job, RepeatableJobTask &task, Instant now);
    void retryTaskOrFailJob(JobNumber number, Job &job, RepeatableJobTask &task, const repeat::RunReport &report, Instant now);
    bool giveUpAfterCrash(JobNumber number, Job &job, RepeatableJobTask &task, const repeat::RunReport &report, Instant now);
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
    absl::btree_set<JobRank> begunQueue_; ///< Jobs with waiting tasks of which others have been ordered; they go first.
    absl::btree_set<JobRank> onTimeQueue_; ///< Other jobs that can still meet their objective.
    absl::btree_set<JobRank> lateQueue_; ///< Other jobs that can no longer meet it; they leave a reserve of capacity.
    SlackShare slackShare_;
    CrashRecords crashRecords_;
    CancelledJobs cancelled_;
    absl::flat_hash_map<OrderId, OrderRef> orders_; ///< Orders for which no final report has arrived.
    absl::flat_hash_map<SubmissionId, JobResult> recentResults_; ///< Results of recently ended jobs, repeated to duplicates of the request.
    std::deque<std::pair<Instant, SubmissionId>> recentResultTimes_; ///< When each result in `recentResults_` was stored; oldest first.
    NameMap<KindStats> kindStats_; ///< By request kind.
    std::uint64_t nextJobNumber_ = 1;
    std::uint64_t nextOrderId_ = 1;
    bool draining_ = false;
    Instant isolatedSince_ = NEVER - std::chrono::hours(1); ///< Since when no agent link has been up; far in the future while one is up.
    Instant linksSettleAt_; ///< Until then, links come up after a time without any, and free capacity is not known yet.
    Instant nextJobCheck_;
    Counters counters_;
    Histograms histograms_;
};

}
