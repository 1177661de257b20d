/** @file repeatable_job_entry.cpp Decisions of an entry about repeatable jobs: submission, order, answers. */

#include "repeatable/repeatable_job_entry.h"

#include "core/reason_table.h"

#include <algorithm>
#include <fmt/format.h>

namespace medlarmill
{

namespace
{

constexpr double LATE_FACTOR = 3; ///< An answer after this multiple of the objective is worth nothing to the caller.
constexpr Duration UNDECLARED = Millis(200); ///< Expected run time of a task without a declared one.
constexpr Duration ANSWER_KEPT = Millis(10'000); ///< How long answers are repeated to copies of the request.
constexpr std::size_t ANSWERS_LIMIT = 20'000; ///< Answers kept at most.
constexpr std::size_t KINDS_LIMIT = 1'000; ///< Request kinds, and services, of which measurements are kept; configurations rename them.
constexpr std::size_t MISFITS_LIMIT = 12; ///< Waiting jobs that may be passed over in a row for want of room.
constexpr Duration ISOLATION_LIMIT = Millis(400); ///< Without any agent for so long, jobs are passed on to other entries.
constexpr double LATE_ADMITTED = 2; ///< A job that would be late is admitted when it should end within this multiple of its objective.
constexpr Duration LEAST_RETRY = Millis(100); ///< Shortest time named to a refused caller.
constexpr Duration LONGEST_RETRY = Millis(5'000); ///< Longest time named to a refused caller; endpoints come back within seconds.
constexpr Duration JOB_TICK = Millis(10); ///< Time between checks of deadlines.

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

RepeatableJobEntry::RepeatableJobEntry(RepeatableJobEntrySettings settings, LinkOutput &links, CallerOutput &callers, DecisionLog &log)
    : settings_(std::move(settings))
    , links_(links)
    , callers_(callers)
    , log_(log)
    , placement_(settings_.zone)
{ }

Duration RepeatableJobEntry::expectedOf(const RepeatableJob &job, const TaskGroup &group) const
{
    if (group.declared.count() == 0) {
        return UNDECLARED;
    }
    const auto kind = kinds_.find(job.rule.kind);
    const double ratio = kind == kinds_.end() ? 1 : kind->second.ratio;
    return Duration(static_cast<Duration::rep>(static_cast<double>(group.declared.count()) * ratio));
}

Duration RepeatableJobEntry::longestChain(const RepeatableJob &job) const
{
    std::vector<Duration> ends(job.groups.size());
    Duration longest{0};
    for (std::size_t index = 0; index < job.groups.size(); ++index) {
        Duration begin{0};
        for (const std::uint32_t earlier : job.groups[index].after) {
            begin = std::max(begin, ends[earlier]);
        }
        ends[index] = begin + expectedOf(job, job.groups[index]);
        longest = std::max(longest, ends[index]);
    }
    return longest;
}

Duration RepeatableJobEntry::objectiveOf(const RepeatableJob &job, Duration chain) const
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(chain.count()) * job.rule.slackFactor)) + job.rule.target;
}

double RepeatableJobEntry::waitingWork(const Job &job) const
{
    double work = 0;
    for (const RepeatableJobTask &task : job.tasks) {
        if (task.state != TaskState::Waiting && task.state != TaskState::Blocked) {
            continue;
        }
        const TaskGroup &group = job.body.groups[task.group];
        work += static_cast<double>(group.demand.cpu) * static_cast<double>(expectedOf(job.body, group).count());
    }
    return work;
}

Duration RepeatableJobEntry::backlogWait(std::string_view service, Instant latestStart) const
{
    double work = 0;
    const auto addQueue = [&](const absl::btree_set<JobRank> &queue) {
        for (const JobRank &rank : queue) {
            if (rank.first > latestStart) {
                return;
            }
            const Job &job = jobs_.at(rank.second);
            work += job.body.rule.service == service ? waitingWork(job) : 0;
        }
    };
    addQueue(waiting_);
    if (latestStart == NEVER) {
        addQueue(late_);
    }
    const auto rate = rates_.find(service);
    const auto capacity = static_cast<double>(placement_.capacity(service));
    return (rate == rates_.end() ? DrainRate() : rate->second).estimateWait(work, capacity);
}

Reason RepeatableJobEntry::admissionRefusal(const RepeatableJob &job, Instant now, Duration *retryAfter) const
{
    *retryAfter = LEAST_RETRY;
    if (jobs_.size() >= settings_.maxJobs) {
        return Reason::JobTableFull;
    }
    const Duration chain = longestChain(job);
    const Duration objective = objectiveOf(job, chain);
    if (waiting_.empty() && late_.empty()) {
        return Reason::None;
    }
    if (chain + backlogWait(job.rule.service, now + objective - chain) <= objective) {
        return Reason::None;
    }
    // It would be late; late jobs get what the others leave.
    const Duration wait = backlogWait(job.rule.service, NEVER);
    if (static_cast<double>((chain + wait).count()) <= static_cast<double>(objective.count()) * LATE_ADMITTED) {
        return Reason::None;
    }
    *retryAfter = std::clamp(wait, LEAST_RETRY, LONGEST_RETRY);
    return Reason::DeadlineUnreachable;
}

void RepeatableJobEntry::answerRefusal(CallerToken caller, const RepeatableJob &job, Reason reason, Duration retryAfter)
{
    counters_.add("entry_refused", reason);
    log_.note(fmt::format("event=job_refused id={} kind={} reason={} retry_after_ms={} open={}", job.id, job.rule.kind,
                          reasonInfo(reason).code, toMillis(retryAfter), jobs_.size()));
    callers_.answer(caller, {JobResult::NotRun, reason, retryAfter});
}

void RepeatableJobEntry::submit(CallerToken caller, RepeatableJob body, Instant now)
{
    const auto known = byId_.find(body.id);
    if (known != byId_.end()) {
        counters_.add("entry_joined");
        log_.note(fmt::format("event=job_joined id={}", body.id));
        jobs_.at(known->second).callers.push_back(caller);
        byCaller_[caller] = known->second;
        return;
    }
    const auto answered = answered_.find(body.id);
    if (answered != answered_.end()) {
        counters_.add("entry_answered_again");
        log_.note(fmt::format("event=job_answered_again id={} result={}", body.id, resultName(answered->second)));
        callers_.answer(caller, {answered->second, Reason::None, Duration(0)});
        return;
    }
    if (draining_ || isIsolated(now)) {
        // Another entry can serve it: the caller is to ask there.
        const Reason reason = draining_ ? Reason::Draining : Reason::EndpointAbsent;
        counters_.add("entry_passed_on", reason);
        log_.note(fmt::format("event=job_passed_on id={} kind={} reason={}", body.id, body.rule.kind, reasonInfo(reason).code));
        callers_.answer(caller, {JobResult::Abandoned, reason, Duration(0)});
        return;
    }
    Duration retryAfter{0};
    const Reason refusal = admissionRefusal(body, now, &retryAfter);
    if (refusal != Reason::None) {
        answerRefusal(caller, body, refusal, retryAfter);
        return;
    }
    const JobNumber number{nextJob_++};
    Job job;
    const Duration chain = longestChain(body);
    const Duration objective = objectiveOf(body, chain);
    job.arrivedAt = now;
    job.deadline = body.patience.count() > 0 ? now + body.patience : NEVER;
    job.latestStart = now + objective - chain;
    job.uselessAt = now + Duration(static_cast<Duration::rep>(static_cast<double>(objective.count()) * LATE_FACTOR)) - chain;
    job.callers.push_back(caller);
    job.tasks.reserve(taskCount(body));
    for (std::uint32_t group = 0; group < body.groups.size(); ++group) {
        for (std::uint32_t index = 0; index < body.groups[group].count; ++index) {
            RepeatableJobTask task;
            task.group = group;
            task.index = index;
            job.tasks.push_back(task);
        }
        job.groupLeft.push_back(body.groups[group].count);
    }
    job.groupAt.resize(body.groups.size());
    job.left = static_cast<std::uint32_t>(job.tasks.size());
    job.body = std::move(body);
    unblock(job);
    byId_[job.body.id] = number;
    byCaller_[caller] = number;
    ++kinds_[job.body.rule.kind].pending;
    counters_.add("entry_jobs");
    log_.note(fmt::format("event=job_accepted id={} kind={} tasks={} chain_ms={} patience_ms={} waiting_jobs={}", job.body.id,
                          job.body.rule.kind, job.tasks.size(), toMillis(chain), toMillis(job.body.patience), waiting_.size()));
    waiting_.insert(rankOf(number, job));
    jobs_.emplace(number, std::move(job));
}

RepeatableJobEntry::JobRank RepeatableJobEntry::rankOf(JobNumber number, const Job &job) const
{
    return {job.latestStart, number};
}

void RepeatableJobEntry::unblock(Job &job)
{
    for (RepeatableJobTask &task : job.tasks) {
        if (task.state != TaskState::Blocked) {
            continue;
        }
        const std::vector<std::uint32_t> &after = job.body.groups[task.group].after;
        if (std::ranges::all_of(after, [&job](std::uint32_t earlier) {
                return job.groupLeft[earlier] == 0;
            })) {
            task.state = TaskState::Waiting;
            ++job.waiting;
        }
    }
}

void RepeatableJobEntry::onCallerDisconnected(CallerToken caller, Instant now)
{
    const auto found = byCaller_.find(caller);
    if (found == byCaller_.end()) {
        return;
    }
    const JobNumber number = found->second;
    byCaller_.erase(found);
    std::vector<CallerToken> &callers = jobs_.at(number).callers;
    std::erase(callers, caller);
    if (callers.empty()) {
        finish(number, JobResult::Abandoned, Reason::CallerGone, now);
    }
}

bool RepeatableJobEntry::cancel(const SubmissionId &id, Instant now)
{
    const auto found = byId_.find(id);
    if (found == byId_.end()) {
        return false;
    }
    finish(found->second, JobResult::Abandoned, Reason::Cancelled, now);
    return true;
}

std::optional<bool> RepeatableJobEntry::hasOrderedTasks(const SubmissionId &id) const
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? std::nullopt : std::optional<bool>(jobs_.at(found->second).ordered);
}

std::size_t RepeatableJobEntry::pendingJobCount(std::string_view kind) const
{
    const auto found = kinds_.find(kind);
    return found == kinds_.end() ? 0 : found->second.pending;
}

void RepeatableJobEntry::dispatchTasks(Instant now)
{
    // Jobs that can no longer meet their objective go behind those that can.
    while (!waiting_.empty() && waiting_.begin()->first < now) {
        late_.insert(*waiting_.begin());
        waiting_.erase(waiting_.begin());
    }
    for (absl::btree_set<JobRank> *queue : {&waiting_, &late_}) {
        std::size_t misfits = 0;
        std::vector<JobRank> ranks;
        for (const JobRank &rank : *queue) {
            ranks.push_back(rank);
            if (ranks.size() >= MISFITS_LIMIT * 4) {
                break;
            }
        }
        for (const JobRank &rank : ranks) {
            Job &job = jobs_.at(rank.second);
            if (!orderTasks(rank.second, job, now) && ++misfits >= MISFITS_LIMIT) {
                return;
            }
            if (job.waiting == 0) {
                queue->erase(rank);
            }
        }
    }
}

bool RepeatableJobEntry::orderTasks(JobNumber number, Job &job, Instant now)
{
    std::string placed;
    const bool complete = placeTasks(number, job, now, placed);
    if (!placed.empty()) {
        log_.note(fmt::format("event=tasks_ordered id={} waited_ms={} still_waiting={} at={}", job.body.id, toMillis(now - job.arrivedAt),
                              job.waiting, placed));
    }
    return complete;
}

bool RepeatableJobEntry::placeTasks(JobNumber number, Job &job, Instant now, std::string &placed)
{
    for (std::uint32_t position = 0; position < job.tasks.size(); ++position) {
        RepeatableJobTask &task = job.tasks[position];
        if (task.state != TaskState::Waiting || now < task.notBefore) {
            continue;
        }
        PlacementRequest request;
        request.group = &job.body.groups[task.group];
        request.service = job.body.rule.service;
        request.expected = expectedOf(job.body, *request.group);
        request.avoid = task.avoid;
        request.perAgent = &job.groupAt[task.group];
        const Incarnation agent = placement_.choose(request);
        if (agent == INVALID_INCARNATION) {
            return false;
        }
        order(number, job, position, agent, now);
        fmt::format_to(std::back_inserter(placed), "{}{}.{}/{}@{}", placed.empty() ? "" : ",", task.group, task.index, task.attempt,
                       placement_.agents().at(agent).name);
    }
    return true;
}

void RepeatableJobEntry::order(JobNumber number, Job &job, std::uint32_t position, Incarnation agent, Instant now)
{
    RepeatableJobTask &task = job.tasks[position];
    const TaskGroup &group = job.body.groups[task.group];
    AgentStatus &view = placement_.agents().at(agent);
    task.state = TaskState::Ordered;
    task.order = OrderId{nextOrder_++};
    task.agent = agent;
    ++task.attempt;
    --job.waiting;
    ++job.groupAt[task.group][agent];
    if (!job.ordered) {
        job.ordered = true;
        histograms_.add("wait", job.body.rule.kind, now - job.arrivedAt);
        --kinds_[job.body.rule.kind].pending;
    }
    orders_[task.order] = {number, position, agent, now};
    rates_[job.body.rule.service].addOrderedWork(static_cast<double>(group.demand.cpu)
                                                 * static_cast<double>(expectedOf(job.body, group).count()));
    if (view.outstanding.empty()) {
        view.busySince = now;
    }
    view.outstanding[task.order] = group.demand;
    view.provedAt = now;
    repeat::Message message;
    repeat::RunOrder *order = message.mutable_run_order();
    order->set_order(static_cast<std::uint64_t>(task.order));
    order->set_submission(job.body.id);
    order->set_group(task.group);
    order->set_index(task.index);
    order->set_attempt(task.attempt);
    order->set_spec(job.body.spec);
    order->set_cpu(group.demand.cpu);
    order->set_mem(group.demand.memMb);
    order->set_gpu(group.demand.gpu);
    order->set_time_left_ms(
        static_cast<std::uint32_t>(job.deadline == NEVER ? UINT32_MAX : std::min<std::uint64_t>(toMillis(job.deadline - now), UINT32_MAX)));
    order->set_rank_ms(std::chrono::duration_cast<Millis>(job.latestStart - now).count());
    order->set_expected_ms(static_cast<std::uint32_t>(toMillis(expectedOf(job.body, group))));
    order->set_stamp(view.stamp);
    counters_.add("entry_orders");
    links_.sendTo(agent, std::move(message));
}

void RepeatableJobEntry::finish(JobNumber number, JobResult result, Reason reason, Instant now, Duration retryAfter)
{
    const auto found = jobs_.find(number);
    Job &job = found->second;
    // Silence of an order is never taken as not run.
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
        cancels[task.agent].mutable_run_cancel()->add_orders(static_cast<std::uint64_t>(task.order));
    }
    for (auto &[agent, message] : cancels) {
        links_.sendTo(agent, std::move(message));
    }
    counters_.add(fmt::format("entry_finished_{}", resultName(result)), reason);
    histograms_.add(fmt::format("answer_{}", resultName(result)), job.body.rule.kind, now - job.arrivedAt);
    log_.note(
        fmt::format("event=job_over id={} kind={} result={} reason={} after_ms={} tasks_left={} callers={} slowest_agent={} slowest_ms={} "
                    "retry_after_ms={}",
                    job.body.id, job.body.rule.kind, resultName(result), reasonInfo(reason).code, toMillis(now - job.arrivedAt), job.left,
                    job.callers.size(), job.slowestAgent, toMillis(job.slowestRun), toMillis(retryAfter)));
    for (const CallerToken caller : job.callers) {
        byCaller_.erase(caller);
        callers_.answer(caller, {result, reason, retryAfter});
    }
    if (result == JobResult::Complete || result == JobResult::Failed) {
        answered_[job.body.id] = result;
        answeredOrder_.emplace_back(now, job.body.id);
    }
    if (!job.ordered) {
        --kinds_[job.body.rule.kind].pending;
    }
    waiting_.erase(rankOf(number, job));
    late_.erase(rankOf(number, job));
    byId_.erase(job.body.id);
    jobs_.erase(found);
}

void RepeatableJobEntry::abandonAllJobs(Instant now)
{
    while (!jobs_.empty()) {
        finish(jobs_.begin()->first, JobResult::Abandoned, Reason::Draining, now);
    }
}

bool RepeatableJobEntry::isIsolated(Instant now) const
{
    return now >= isolatedSince_ + ISOLATION_LIMIT;
}

void RepeatableJobEntry::tickJobs(Instant now)
{
    std::vector<std::pair<JobNumber, Reason>> over;
    for (const auto &[number, job] : jobs_) {
        if (now >= job.deadline) {
            over.emplace_back(number, job.ordered ? Reason::DeadlinePassed : Reason::DeadlineBeforeStart);
        } else if (!job.ordered && isIsolated(now)) {
            over.emplace_back(number, Reason::EndpointAbsent);
        } else if (now >= job.uselessAt && !job.ordered) {
            over.emplace_back(number, Reason::DeadlineUnreachable);
        }
    }
    for (const auto &[number, reason] : over) {
        const Duration wait = backlogWait(jobs_.at(number).body.rule.service, NEVER);
        // Another entry may reach agents: the caller is to ask there.
        const JobResult result = reason == Reason::EndpointAbsent ? JobResult::Abandoned : JobResult::NotRun;
        finish(number, result, reason, now, std::clamp(wait, LEAST_RETRY, LONGEST_RETRY));
    }
    while (!answeredOrder_.empty() && (answeredOrder_.front().first + ANSWER_KEPT < now || answeredOrder_.size() > ANSWERS_LIMIT)) {
        answered_.erase(answeredOrder_.front().second);
        answeredOrder_.pop_front();
    }
    if (kinds_.size() > KINDS_LIMIT) {
        std::erase_if(kinds_, [](const auto &kind) {
            return kind.second.pending == 0;
        });
    }
    if (rates_.size() > KINDS_LIMIT) {
        rates_.clear();
    }
}

void RepeatableJobEntry::tickRates(Instant now)
{
    const auto hasQueue = [this](const absl::btree_set<JobRank> &queue, std::string_view service) {
        return std::ranges::any_of(queue, [&](const JobRank &rank) {
            return jobs_.at(rank.second).body.rule.service == service;
        });
    };
    for (auto &[service, rate] : rates_) {
        rate.update(now, hasQueue(waiting_, service) || hasQueue(late_, service));
    }
}

void RepeatableJobEntry::tick(Instant now)
{
    tickAgents(now);
    tickRates(now);
    if (now >= nextJobTick_) {
        nextJobTick_ = now + JOB_TICK;
        tickJobs(now);
    }
    dispatchTasks(now);
}

void RepeatableJobEntry::onTaskDone(JobNumber number, Job &job, RepeatableJobTask &task, Instant now)
{
    task.state = TaskState::Done;
    --job.left;
    if (--job.groupLeft[task.group] == 0 && job.left > 0) {
        unblock(job);
        if (job.waiting > 0) {
            waiting_.insert(rankOf(number, job));
        }
    }
    if (job.left == 0) {
        finish(number, JobResult::Complete, Reason::None, now);
    }
}

void RepeatableJobEntry::setWaiting(JobNumber number, Job &job, RepeatableJobTask &task)
{
    task.state = TaskState::Waiting;
    ++job.waiting;
    if (!late_.contains(rankOf(number, job))) {
        waiting_.insert(rankOf(number, job));
    }
}

void RepeatableJobEntry::onTaskNotDone(JobNumber number, Job &job, RepeatableJobTask &task, const repeat::RunReport &report, Instant now)
{
    const auto reason = static_cast<Reason>(report.reason());
    counters_.add("entry_task_retries", reason);
    if (report.outcome() == repeat::RUN_FAILED && ++task.failures >= job.body.rule.maxFailures) {
        finish(number, JobResult::Failed, Reason::TaskFailed, now);
        return;
    }
    if (report.outcome() == repeat::RUN_NOT_STARTED) {
        --task.attempt;
        if (reason == Reason::NoRoom || reason == Reason::EndpointUnhealthy) {
            task.avoid = task.agent;
        }
    } else {
        ++task.losses;
        task.avoid = task.agent;
    }
    task.attempt = std::max(task.attempt, report.attempt_floor());
    setWaiting(number, job, task);
}

}
