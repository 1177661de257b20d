/** @file repeatable_job_entry.cpp Scheduling of repeatable jobs at an entry: admission, queueing, answers. */

#include "repeatable/repeatable_job_entry.h"

#include "core/reason_table.h"
#include "repeatable/admission.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace medlarmill
{

namespace
{

constexpr double USELESS_ANSWER_FACTOR = 3; ///< An answer later than this multiple of the objective is useless to the caller.
constexpr Duration DEFAULT_RUN_TIME = Millis(200); ///< Expected run time of a task that declares none.
constexpr Duration RESULT_RETENTION = Millis(10'000); ///< How long results are kept for duplicates of the request.
constexpr std::size_t MAX_RETAINED_RESULTS = 20'000; ///< Maximum number of retained results.
constexpr std::size_t MAX_MEASURED_NAMES = 1'000; ///< Limit for measured kinds; configuration changes may rename them.
constexpr std::size_t MAX_UNPLACED_JOBS = 12; ///< Jobs of one queue that may fail to be placed before a dispatch round ends.
constexpr Duration ISOLATION_TIMEOUT = Millis(400); ///< After so long without a link to any agent, callers are sent to other entries.
constexpr Duration JOB_CHECK_INTERVAL = Millis(10); ///< Time between checks of the deadlines of jobs.

std::size_t taskCount(const RepeatableJob &job)
{
    std::size_t count = 0;
    for (const TaskGroup &group : job.groups) {
        count += group.count;
    }
    return count;
}

std::string_view resultName(JobResult result)
{
    switch (result) {
    case JobResult::Complete:
        return "complete";
    case JobResult::Failed:
        return "failed";
    case JobResult::NotRun:
        return "not_run";
    case JobResult::Abandoned:
        return "abandoned";
    }
    return "unknown";
}

}

RepeatableJobEntry::RepeatableJobEntry(RepeatableJobEntrySettings settings, LinkOutput &links, CallerOutput &callers, EventLog &log)
    : settings_(std::move(settings))
    , links_(links)
    , callers_(callers)
    , log_(log)
    , placement_(settings_.zone, settings_.coldExcess)
{ }

Duration RepeatableJobEntry::expectedRunTime(const RepeatableJob &job, const TaskGroup &group) const
{
    if (group.declaredRunTime.count() == 0) {
        return DEFAULT_RUN_TIME;
    }
    const auto kind = kindStats_.find(job.policy.kind);
    const double ratio = kind == kindStats_.end() ? 1 : kind->second.runTimeRatio;
    return Duration(static_cast<Duration::rep>(static_cast<double>(group.declaredRunTime.count()) * ratio));
}

Duration RepeatableJobEntry::criticalPathTime(const RepeatableJob &job) const
{
    std::vector<Duration> ends(job.groups.size());
    Duration longest{0};
    for (std::size_t index = 0; index < job.groups.size(); ++index) {
        Duration begin{0};
        for (const std::uint32_t dependency : job.groups[index].dependencies) {
            begin = std::max(begin, ends[dependency]);
        }
        ends[index] = begin + expectedRunTime(job, job.groups[index]);
        longest = std::max(longest, ends[index]);
    }
    return longest;
}

Duration RepeatableJobEntry::responseTimeObjective(const RepeatableJob &job, Duration criticalPath) const
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(criticalPath.count()) * job.policy.slackFactor))
        + job.policy.targetLatency;
}

void RepeatableJobEntry::refuseJob(CallerToken caller, const RepeatableJob &job, Reason reason, Duration retryAfter)
{
    counters_.add("entry_refused", reason);
    log_.info(fmt::format("event=job_refused id={} kind={} reason={} retry_after_ms={} open={} config_version={}", job.id, job.policy.kind,
                          reasonInfo(reason).code, toMillis(retryAfter), jobs_.size(), job.policy.configVersion));
    callers_.answer(caller, {JobResult::NotRun, reason, retryAfter});
}

void RepeatableJobEntry::submit(CallerToken caller, RepeatableJob submission, Instant now)
{
    const auto known = jobNumberById_.find(submission.id);
    if (known != jobNumberById_.end()) {
        counters_.add("entry_joined");
        log_.info(fmt::format("event=job_joined id={}", submission.id));
        jobs_.at(known->second).callers.push_back(caller);
        jobNumberByCaller_[caller] = known->second;
        return;
    }
    const auto answered = recentResults_.find(submission.id);
    if (answered != recentResults_.end()) {
        counters_.add("entry_answered_again");
        log_.info(fmt::format("event=job_answered_again id={} result={}", submission.id, resultName(answered->second)));
        callers_.answer(caller, {answered->second, Reason::None, Duration(0)});
        return;
    }
    if (cancelled_.contains(submission.id)) {
        // Runs of the cancelled job may still be stopping elsewhere, so this is no promise that none has started.
        counters_.add("entry_cancelled_jobs_refused");
        log_.info(fmt::format("event=job_cancelled_before id={} kind={} remembered_ms={}", submission.id, submission.policy.kind,
                              toMillis(cancelled_.timeLeft(submission.id, now))));
        callers_.answer(caller, {JobResult::Abandoned, Reason::Cancelled, cancelled_.timeLeft(submission.id, now)});
        return;
    }
    if (crashRecords_.isGivenUp(submission.id)) {
        counters_.add("entry_crashing_jobs_refused");
        log_.warn(fmt::format("event=job_given_up id={} kind={} reason={}", submission.id, submission.policy.kind,
                              reasonInfo(Reason::CrashesEndpoints).code));
        callers_.answer(caller, {JobResult::Failed, Reason::CrashesEndpoints, Duration(0)});
        return;
    }
    if (draining_ || isIsolated(now)) {
        // Another entry may be able to serve the job; this answer makes the caller try there.
        const Reason reason = draining_ ? Reason::Draining : Reason::EndpointAbsent;
        counters_.add("entry_passed_on", reason);
        log_.info(
            fmt::format("event=job_passed_on id={} kind={} reason={}", submission.id, submission.policy.kind, reasonInfo(reason).code));
        callers_.answer(caller, {JobResult::Abandoned, reason, Duration(0)});
        return;
    }
    const Admission admission = checkNewJob(submission, now);
    if (admission.refusal != Reason::None) {
        refuseJob(caller, submission, admission.refusal, admission.retryAfter);
        return;
    }
    const JobNumber number{nextJobNumber_++};
    Job job;
    const Duration criticalPath = criticalPathTime(submission);
    const Duration objective = responseTimeObjective(submission, criticalPath);
    job.arrivedAt = now;
    job.deadline = submission.callerTimeout.count() > 0 ? now + submission.callerTimeout : NEVER;
    job.latestStart = now + objective - criticalPath;
    job.latestUsefulStart
        = now + Duration(static_cast<Duration::rep>(static_cast<double>(objective.count()) * USELESS_ANSWER_FACTOR)) - criticalPath;
    job.callers.push_back(caller);
    job.tasks.reserve(taskCount(submission));
    for (std::uint32_t group = 0; group < submission.groups.size(); ++group) {
        for (std::uint32_t index = 0; index < submission.groups[group].count; ++index) {
            RepeatableJobTask task;
            task.group = group;
            task.index = index;
            job.tasks.push_back(task);
        }
        job.unfinishedByGroup.push_back(submission.groups[group].count);
    }
    job.groupTasksByAgent.resize(submission.groups.size());
    job.unfinishedTasks = static_cast<std::uint32_t>(job.tasks.size());
    job.submission = std::move(submission);
    unblockTasks(job);
    jobNumberById_[job.submission.id] = number;
    jobNumberByCaller_[caller] = number;
    ++kindStats_[job.submission.policy.kind].pendingJobs;
    counters_.add("entry_jobs");
    log_.info(fmt::format("event=job_accepted id={} kind={} tasks={} chain_ms={} patience_ms={} waiting_jobs={} config_version={}",
                          job.submission.id, job.submission.policy.kind, job.tasks.size(), toMillis(criticalPath),
                          toMillis(job.submission.callerTimeout), onTimeQueue_.size(), job.submission.policy.configVersion));
    onTimeQueue_.insert(rankOf(number, job));
    jobs_.emplace(number, std::move(job));
}

RepeatableJobEntry::JobRank RepeatableJobEntry::rankOf(JobNumber number, const Job &job) const
{
    return {job.latestStart, number};
}

void RepeatableJobEntry::unblockTasks(Job &job)
{
    for (RepeatableJobTask &task : job.tasks) {
        if (task.state != TaskState::Blocked) {
            continue;
        }
        const std::vector<std::uint32_t> &dependencies = job.submission.groups[task.group].dependencies;
        if (std::ranges::all_of(dependencies, [&job](std::uint32_t dependency) {
                return job.unfinishedByGroup[dependency] == 0;
            })) {
            task.state = TaskState::Waiting;
            ++job.waitingTasks;
        }
    }
}

void RepeatableJobEntry::onCallerDisconnected(CallerToken caller, Instant now)
{
    const auto found = jobNumberByCaller_.find(caller);
    if (found == jobNumberByCaller_.end()) {
        return;
    }
    const JobNumber number = found->second;
    jobNumberByCaller_.erase(found);
    std::vector<CallerToken> &callers = jobs_.at(number).callers;
    std::erase(callers, caller);
    if (callers.empty()) {
        finishJob(number, JobResult::Abandoned, Reason::CallerGone, now);
    }
}

bool RepeatableJobEntry::cancel(const SubmissionId &id, Instant now)
{
    const auto found = jobNumberById_.find(id);
    if (found == jobNumberById_.end()) {
        return false;
    }
    finishJob(found->second, JobResult::Abandoned, Reason::Cancelled, now);
    return true;
}

bool RepeatableJobEntry::onJobCancelled(const SubmissionId &id, Duration keep, Instant now)
{
    cancelled_.add(id, keep, now);
    return cancel(id, now);
}

std::optional<bool> RepeatableJobEntry::hasOrderedTasks(const SubmissionId &id) const
{
    const auto found = jobNumberById_.find(id);
    return found == jobNumberById_.end() ? std::nullopt : std::optional<bool>(jobs_.at(found->second).anyTaskOrdered);
}

std::size_t RepeatableJobEntry::pendingJobCount(std::string_view kind) const
{
    const auto found = kindStats_.find(kind);
    return found == kindStats_.end() ? 0 : found->second.pendingJobs;
}

void RepeatableJobEntry::dispatchTasks(Instant now)
{
    while (!onTimeQueue_.empty() && onTimeQueue_.begin()->first < now) {
        lateQueue_.insert(*onTimeQueue_.begin());
        onTimeQueue_.erase(onTimeQueue_.begin());
    }
    dispatchQueue(begunQueue_, now);
    dispatchQueue(onTimeQueue_, now);
    dispatchQueue(lateQueue_, now);
}

void RepeatableJobEntry::dispatchQueue(absl::btree_set<JobRank> &queue, Instant now)
{
    std::vector<JobRank> ranks;
    for (const JobRank &rank : queue) {
        ranks.push_back(rank);
        if (ranks.size() >= MAX_UNPLACED_JOBS * 4) {
            break;
        }
    }
    std::size_t unplacedJobs = 0;
    for (const JobRank &rank : ranks) {
        Job &job = jobs_.at(rank.second);
        const bool isPlaced = dispatchJob(rank.second, job, now);
        if (job.anyTaskOrdered) {
            queue.erase(rank);
        }
        if (job.waitingTasks == 0 && !std::exchange(job.isSlackJudged, true)) {
            slackShare_.onJobOrdered(now <= job.latestStart);
        }
        if (job.anyTaskOrdered && job.waitingTasks > 0) {
            begunQueue_.insert(rank);
        }
        if (!isPlaced && ++unplacedJobs >= MAX_UNPLACED_JOBS) {
            return;
        }
    }
}

bool RepeatableJobEntry::dispatchJob(JobNumber number, Job &job, Instant now)
{
    std::string placedTasks;
    const bool complete = placeTasks(number, job, now, placedTasks);
    if (!placedTasks.empty()) {
        log_.info(fmt::format("event=tasks_ordered id={} waited_ms={} still_waiting={} at={}", job.submission.id,
                              toMillis(now - job.arrivedAt), job.waitingTasks, placedTasks));
    }
    return complete;
}

bool RepeatableJobEntry::placeTasks(JobNumber number, Job &job, Instant now, std::string &placedTasks)
{
    for (std::uint32_t position = 0; position < job.tasks.size(); ++position) {
        RepeatableJobTask &task = job.tasks[position];
        if (task.state != TaskState::Waiting) {
            continue;
        }
        PlacementRequest request;
        request.group = &job.submission.groups[task.group];
        request.service = job.submission.policy.service;
        request.expectedRunTime = expectedRunTime(job.submission, *request.group);
        request.avoidedAgent = task.avoidedAgent;
        request.isCrashSuspect = crashRecords_.isSuspect(job.submission.id, task.group, task.index);
        request.leavesReserve = job.latestStart < now && !job.anyTaskOrdered;
        request.groupTasksByAgent = &job.groupTasksByAgent[task.group];
        const PlacementChoice choice = placement_.chooseAgent(request);
        if (choice.agent == INVALID_INCARNATION) {
            return false;
        }
        sendOrder(number, job, position, choice, now);
        fmt::format_to(std::back_inserter(placedTasks), "{}{}.{}/{}@{}", placedTasks.empty() ? "" : ",", task.group, task.index,
                       task.attempt, placement_.agents().at(choice.agent).name);
    }
    return true;
}

void RepeatableJobEntry::sendOrder(JobNumber number, Job &job, std::uint32_t position, const PlacementChoice &choice, Instant now)
{
    const Incarnation agent = choice.agent;
    RepeatableJobTask &task = job.tasks[position];
    const TaskGroup &group = job.submission.groups[task.group];
    AgentStatus &status = placement_.agents().at(agent);
    task.state = TaskState::Ordered;
    task.orderId = OrderId{nextOrderId_++};
    task.agent = agent;
    ++task.attempt;
    --job.waitingTasks;
    ++job.groupTasksByAgent[task.group][agent];
    if (!job.anyTaskOrdered) {
        job.anyTaskOrdered = true;
        histograms_.add("wait", job.submission.policy.kind, now - job.arrivedAt);
        --kindStats_[job.submission.policy.kind].pendingJobs;
    }
    orders_[task.orderId] = {number, position, agent, now};
    if (status.outstandingOrders.empty()) {
        status.busySince = now;
    }
    status.outstandingOrders[task.orderId] = group.demand;
    status.lastStampSentAt = now;
    repeat::Message message;
    repeat::RunOrder *order = message.mutable_run_order();
    order->set_order(static_cast<std::uint64_t>(task.orderId));
    order->set_submission(job.submission.id);
    order->set_group(task.group);
    order->set_index(task.index);
    order->set_attempt(task.attempt);
    order->set_spec(job.submission.spec);
    order->set_cpu(group.demand.cpu);
    order->set_mem(group.demand.memMb);
    order->set_gpu(group.demand.gpu);
    order->set_time_left_ms(
        static_cast<std::uint32_t>(job.deadline == NEVER ? UINT32_MAX : std::min<std::uint64_t>(toMillis(job.deadline - now), UINT32_MAX)));
    order->set_rank_ms(std::chrono::duration_cast<Millis>(job.latestStart - now).count());
    order->set_expected_ms(static_cast<std::uint32_t>(toMillis(expectedRunTime(job.submission, group))));
    order->set_stamp(status.newestStamp);
    order->set_refuse_when_full(choice.hasAlternative);
    order->set_endpoint_start_ms(status.endpointStartMs);
    order->set_crash_suspect(crashRecords_.isSuspect(job.submission.id, task.group, task.index));
    counters_.add("entry_orders");
    links_.sendTo(agent, std::move(message));
}

void RepeatableJobEntry::finishJob(JobNumber number, JobResult result, Reason reason, Instant now, Duration retryAfter)
{
    const auto found = jobs_.find(number);
    Job &job = found->second;
    // NotRun promises that no task has started. An order without a report may have started its task, so such a job is answered as
    // Abandoned, here and in the loop below.
    if (result == JobResult::NotRun && job.mayHaveStarted) {
        result = JobResult::Abandoned;
    }
    absl::btree_map<Incarnation, repeat::Message> cancels;
    for (RepeatableJobTask &task : job.tasks) {
        if (task.state != TaskState::Ordered) {
            continue;
        }
        if (result == JobResult::NotRun) {
            result = JobResult::Abandoned;
        }
        cancels[task.agent].mutable_run_cancel()->add_orders(static_cast<std::uint64_t>(task.orderId));
    }
    for (auto &[agent, message] : cancels) {
        links_.sendTo(agent, std::move(message));
    }
    counters_.add(fmt::format("entry_finished_{}", resultName(result)), reason);
    histograms_.add(fmt::format("answer_{}", resultName(result)), job.submission.policy.kind, now - job.arrivedAt);
    log_.info(fmt::format(
        "event=job_over id={} kind={} result={} reason={} after_ms={} tasks_left={} callers={} slowest_agent={} slowest_ms={} "
        "retry_after_ms={}",
        job.submission.id, job.submission.policy.kind, resultName(result), reasonInfo(reason).code, toMillis(now - job.arrivedAt),
        job.unfinishedTasks, job.callers.size(), job.slowestAgent, toMillis(job.slowestRun), toMillis(retryAfter)));
    for (const CallerToken caller : job.callers) {
        jobNumberByCaller_.erase(caller);
        callers_.answer(caller, {result, reason, retryAfter});
    }
    if (result == JobResult::Complete || result == JobResult::Failed) {
        recentResults_[job.submission.id] = result;
        recentResultTimes_.emplace_back(now, job.submission.id);
    }
    if (!job.anyTaskOrdered) {
        --kindStats_[job.submission.policy.kind].pendingJobs;
    }
    begunQueue_.erase(rankOf(number, job));
    onTimeQueue_.erase(rankOf(number, job));
    lateQueue_.erase(rankOf(number, job));
    jobNumberById_.erase(job.submission.id);
    jobs_.erase(found);
}

void RepeatableJobEntry::abandonAllJobs(Instant now)
{
    while (!jobs_.empty()) {
        finishJob(jobs_.begin()->first, JobResult::Abandoned, Reason::Draining, now);
    }
}

bool RepeatableJobEntry::isIsolated(Instant now) const
{
    return now >= isolatedSince_ + ISOLATION_TIMEOUT;
}

bool RepeatableJobEntry::hasOrder(const Job &job)
{
    return std::ranges::any_of(job.tasks, [](const RepeatableJobTask &task) {
        return task.state == TaskState::Ordered;
    });
}

void RepeatableJobEntry::checkJobs(Instant now)
{
    std::vector<std::pair<JobNumber, Reason>> finished;
    for (const auto &[number, job] : jobs_) {
        if (now >= job.deadline) {
            finished.emplace_back(number, job.anyTaskOrdered ? Reason::DeadlinePassed : Reason::DeadlineBeforeStart);
        } else if (!job.anyTaskOrdered && isIsolated(now)) {
            finished.emplace_back(number, Reason::EndpointAbsent);
        } else if (now >= job.latestUsefulStart && job.waitingTasks > 0 && !hasOrder(job)) {
            finished.emplace_back(number, Reason::DeadlineUnreachable);
        }
    }
    for (const auto &[number, reason] : finished) {
        const Duration wait = estimateQueueingDelay(jobs_.at(number).submission.policy.service);
        // Another entry may have links to agents; Abandoned makes the caller try there.
        const JobResult result = reason == Reason::EndpointAbsent ? JobResult::Abandoned : JobResult::NotRun;
        finishJob(number, result, reason, now, retryDelay(wait, jobs_.at(number).submission.id));
    }
    while (!recentResultTimes_.empty()
           && (recentResultTimes_.front().first + RESULT_RETENTION < now || recentResultTimes_.size() > MAX_RETAINED_RESULTS)) {
        recentResults_.erase(recentResultTimes_.front().second);
        recentResultTimes_.pop_front();
    }
    crashRecords_.forgetOld(now);
    cancelled_.forgetOld(now);
    if (kindStats_.size() > MAX_MEASURED_NAMES) {
        std::erase_if(kindStats_, [](const auto &kind) {
            return kind.second.pendingJobs == 0;
        });
    }
}

void RepeatableJobEntry::tick(Instant now)
{
    checkAgents(now);
    // Before the check of jobs, which ends those that are late and have nothing ordered.
    dispatchTasks(now);
    if (now >= nextJobCheck_) {
        nextJobCheck_ = now + JOB_CHECK_INTERVAL;
        checkJobs(now);
    }
}

void RepeatableJobEntry::onTaskCompleted(JobNumber number, Job &job, RepeatableJobTask &task, Instant now)
{
    task.state = TaskState::Done;
    --job.unfinishedTasks;
    if (--job.unfinishedByGroup[task.group] == 0 && job.unfinishedTasks > 0) {
        unblockTasks(job);
        if (job.waitingTasks > 0) {
            begunQueue_.insert(rankOf(number, job));
        }
    }
    if (job.unfinishedTasks == 0) {
        finishJob(number, JobResult::Complete, Reason::None, now);
    }
}

void RepeatableJobEntry::requeueTask(JobNumber number, Job &job, RepeatableJobTask &task)
{
    task.state = TaskState::Waiting;
    ++job.waitingTasks;
    begunQueue_.insert(rankOf(number, job));
}

void RepeatableJobEntry::onCrashNotice(const repeat::CrashNotice &notice, Instant now)
{
    for (const repeat::TaskCrash &item : notice.crashes()) {
        const TaskCrash crash{{item.submission(), item.group(), item.index(), item.attempt()}, toIncarnation(item.agent()), item.suspect()};
        if (!crashRecords_.add(crash, now) || !crashRecords_.isGivenUp(item.submission())) {
            continue;
        }
        const auto open = jobNumberById_.find(item.submission());
        if (open != jobNumberById_.end()) {
            finishJob(open->second, JobResult::Failed, Reason::CrashesEndpoints, now);
        }
    }
}

repeat::CrashNotice RepeatableJobEntry::crashNotice() const
{
    repeat::CrashNotice notice;
    for (const TaskCrash &crash : crashRecords_.all()) {
        if (!crash.isSuspect) {
            continue;
        }
        repeat::TaskCrash *item = notice.add_crashes();
        item->set_submission(crash.run.submission);
        item->set_group(crash.run.group);
        item->set_index(crash.run.index);
        item->set_attempt(crash.run.attempt);
        item->set_agent(toWire(crash.agent));
        item->set_suspect(crash.isSuspect);
    }
    return notice;
}

bool RepeatableJobEntry::giveUpAfterCrash(JobNumber number, Job &job, RepeatableJobTask &task, const repeat::RunReport &report, Instant now)
{
    if (report.outcome() == repeat::RUN_NOT_STARTED) {
        return false;
    }
    const SubmissionId id = job.submission.id;
    crashRecords_.add({{id, task.group, task.index, task.attempt}, task.agent, report.crash_suspect()}, now);
    log_.warn(fmt::format("event=task_under_crash id={} kind={} group={} index={} attempt={} suspect={:d}", id, job.submission.policy.kind,
                          task.group, task.index, task.attempt, report.crash_suspect()));
    if (!crashRecords_.isGivenUp(id)) {
        return false;
    }
    finishJob(number, JobResult::Failed, Reason::CrashesEndpoints, now);
    return true;
}

void RepeatableJobEntry::retryTaskOrFailJob(JobNumber number, Job &job, RepeatableJobTask &task, const repeat::RunReport &report,
                                            Instant now)
{
    const auto reason = static_cast<Reason>(report.reason());
    if (reason == Reason::Cancelled) {
        finishJob(number, JobResult::Abandoned, Reason::Cancelled, now);
        return;
    }
    counters_.add("entry_task_retries", reason);
    if (reason == Reason::EndpointCrashed && giveUpAfterCrash(number, job, task, report, now)) {
        return;
    }
    if (report.outcome() == repeat::RUN_FAILED && ++task.failures >= job.submission.policy.maxFailures) {
        finishJob(number, JobResult::Failed, Reason::TaskFailed, now);
        return;
    }
    if (report.outcome() == repeat::RUN_NOT_STARTED) {
        --task.attempt;
        if (reason == Reason::NoRoom || reason == Reason::EndpointUnhealthy) {
            task.avoidedAgent = task.agent;
        }
    } else {
        job.isSlackJudged = true;
        task.avoidedAgent = task.agent;
    }
    task.attempt = std::max(task.attempt, report.attempt_floor());
    requeueTask(number, job, task);
}

}
