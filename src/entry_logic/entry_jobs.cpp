/** @file entry_jobs.cpp Life cycle of a job at its home entry: admission, task grants, results and answer. */

#include "entry_logic/entry_core.h"

#include "core/hash_func.h"
#include "entry_logic/job_func.h"
#include "entry_logic/roster_func.h"

#include <algorithm>
#include <fmt/format.h>

namespace medlarmill
{

namespace
{

/** A credit is transferred to another entry only for a job whose rank precedes that of every local job by more than this. */
constexpr Duration CREDIT_TRANSFER_RANK_MARGIN = Millis(500);
constexpr int MAX_ESTIMATE_PERCENT = 60; ///< Share of the time to the deadline that the estimated completion time may take.
constexpr std::size_t MAX_JOBS_PER_CREDIT_REQUEST = 8;

/** Whether agents reported every task as complete. The removed home entry may then have answered the submission as complete. */
bool areAllTasksComplete(const RecoveredState &recovered, std::uint32_t taskCount)
{
    const auto isComplete = [](const ReportedStart &start) {
        return start.report.state() == wire::TASK_COMPLETE;
    };
    return recovered.starts.size() == taskCount && std::ranges::all_of(recovered.starts, isComplete);
}

}

Job EntryCore::makeJob(const wire::Job &body, const Waiter &waiter, Instant now) const
{
    Job job;
    job.id = body.submission_id();
    job.digest = digestOf(body);
    job.service = body.service();
    job.kind = body.kind();
    job.team = body.team();
    job.idempotent = body.idempotent();
    job.deadline = now + Millis(body.deadline_ms());
    job.taskCount = static_cast<std::uint32_t>(body.tasks_size());
    job.remaining = job.taskCount;
    job.waiters.push_back(waiter);
    job.phaseSince = now;
    for (const wire::TaskSpec &spec : body.tasks()) {
        Task &task = job.tasks.emplace_back();
        task.payload = spec.payload();
        task.declaredMs = spec.declared_ms();
        task.expected = estimator_.estimate(job.service, job.kind, task.declaredMs);
    }
    return job;
}

void EntryCore::joinExistingJob(Job &job, const wire::Job &body, const Waiter &waiter)
{
    if (job.digest != digestOf(body)) {
        counters_.add("entry_requests_invalid", Reason::Conflict);
        sendAnswer(waiter, makeAnswer(job.id, wire::ANSWER_INVALID, Reason::Conflict), false);
        return;
    }
    counters_.add("entry_resubmissions");
    if (job.phase == JobPhase::Answered) {
        sendAnswer(waiter, job.answer, false);
        return;
    }
    if (std::ranges::find(job.waiters, waiter) == job.waiters.end()) {
        job.waiters.push_back(waiter);
    }
}

void EntryCore::submitAtHome(const wire::Job &body, const Waiter &waiter, Ownership ownership, Instant now)
{
    std::size_t bytes = 0;
    for (const wire::TaskSpec &task : body.tasks()) {
        bytes += task.payload().size();
    }
    if (ownership.kind == OwnershipKind::Uncertain) {
        const RecoveredState recovered = recoveredStateOf(body.submission_id());
        if (recovered.answer == nullptr) {
            counters_.add("entry_answers_unknown", Reason::TakeoverIncomplete);
            sendAnswer(waiter, makeAnswer(body.submission_id(), wire::ANSWER_UNKNOWN, Reason::TakeoverIncomplete), false);
            return;
        }
    }
    if (!jobs_.hasRoom(bytes)) {
        counters_.add("entry_answers_unknown", Reason::JobTableFull);
        sendAnswer(waiter, makeAnswer(body.submission_id(), wire::ANSWER_UNKNOWN, Reason::JobTableFull), false);
        return;
    }
    Job &job = jobs_.insert(makeJob(body, waiter, now));
    resolveOwnership(job, now);
}

RecoveredState EntryCore::recoveredStateOf(const SubmissionId &id) const
{
    RecoveredState recovered = membership_.recoveredState(id);
    if (recovered.answer == nullptr) {
        recovered.answer = relays_.findRecordedAnswer(id); // The answer may have been recorded at this entry.
    }
    return recovered;
}

bool EntryCore::conflictsWithRecoveredState(const Job &job, const RecoveredState &recovered)
{
    const bool answerConflicts = recovered.answer != nullptr && recovered.answer->digest() != job.digest;
    return answerConflicts || std::ranges::any_of(recovered.starts, [&job](const ReportedStart &start) {
               return start.report.digest() != job.digest || start.report.index() >= job.taskCount;
           });
}

void EntryCore::rejectConflict(Job &job)
{
    counters_.add("entry_requests_invalid", Reason::Conflict);
    const wire::Answer conflict = makeAnswer(job.id, wire::ANSWER_INVALID, Reason::Conflict);
    const std::vector<Waiter> waiters = job.waiters;
    jobs_.erase(job);
    for (const Waiter &waiter : waiters) {
        sendAnswer(waiter, conflict, false);
    }
}

void EntryCore::resolveOwnership(Job &job, Instant now)
{
    const Ownership ownership = membership_.ownershipOf(job.id, job.service, now);
    const RecoveredState recovered = recoveredStateOf(job.id);
    if (conflictsWithRecoveredState(job, recovered)) {
        rejectConflict(job);
        return;
    }
    if (recovered.answer != nullptr && (ownership.kind == OwnershipKind::Local || ownership.kind == OwnershipKind::Uncertain)) {
        job.answer = *recovered.answer;
        deliverAnswer(job, now);
        return;
    }
    switch (ownership.kind) {
    case OwnershipKind::Pending:
        return;
    case OwnershipKind::Local:
        if (recovered.starts.empty()) {
            admitJob(job, now);
        } else {
            rebuildJob(job, recovered, now);
        }
        return;
    case OwnershipKind::Remote: {
        wire::Job body;
        body.set_submission_id(job.id);
        body.set_service(job.service);
        body.set_kind(job.kind);
        body.set_team(job.team);
        body.set_idempotent(job.idempotent);
        body.set_deadline_ms(static_cast<std::uint32_t>(toMillis(job.deadline - now)));
        for (const Task &task : job.tasks) {
            wire::TaskSpec *spec = body.add_tasks();
            spec->set_payload(task.payload);
            spec->set_declared_ms(task.declaredMs);
        }
        const std::vector<Waiter> waiters = job.waiters;
        jobs_.erase(job);
        for (const Waiter &waiter : waiters) {
            relayRequest(RequestKind::Submit, body, waiter, 1, now);
        }
        return;
    }
    default:
        answerUnknown(job, Reason::TakeoverIncomplete, now);
        return;
    }
}

void EntryCore::rebuildJob(Job &job, const RecoveredState &recovered, Instant now)
{
    counters_.add("entry_jobs_rebuilt");
    jobs_.setPhase(job, JobPhase::Active, now);
    const JobSequence sequence = job.sequence;
    const std::string service = job.service; // Applying the reports may erase the job.
    job.mayBeAnsweredComplete = areAllTasksComplete(recovered, job.taskCount);
    std::vector<std::pair<Incarnation, wire::TaskReport>> reports;
    for (const ReportedStart &start : recovered.starts) {
        Task &task = job.tasks[start.report.index()];
        if (task.phase != TaskPhase::Waiting) {
            continue;
        }
        task.phase = TaskPhase::Granted;
        task.agent = start.agent;
        ++job.started;
        outstandingTasks_[start.agent][{job.id, TaskIndex{start.report.index()}}] = {job.sequence, job.service};
        const AgentView *view = membership_.findAgent(start.agent);
        if (view != nullptr && view->departed) {
            reports.emplace_back(start.agent, start.report);
        } else if (view == nullptr || view->lost) {
            wire::TaskReport lost = start.report;
            lost.set_state(wire::TASK_LOST);
            reports.emplace_back(start.agent, lost);
        } else {
            wire::Message message;
            wire::TaskRef *ref = message.mutable_task_query()->add_tasks();
            ref->set_submission_id(job.id);
            ref->set_index(start.report.index());
            output_.sendToAgent(start.agent, std::move(message));
        }
    }
    enqueueWaitingTasks(job, now);
    for (const auto &[agent, report] : reports) {
        if (jobs_.find(sequence) != nullptr) {
            onTaskReport(agent, report, now);
        }
    }
    dispatchTasks(service, now);
}

Job *EntryCore::rebuildCompletedJob(const SubmissionId &id, Instant now)
{
    const RecoveredState recovered = membership_.recoveredState(id);
    if (recovered.starts.empty()) {
        return nullptr;
    }
    const std::uint32_t count = recovered.starts.front().report.task_count();
    if (!areAllTasksComplete(recovered, count)) {
        return nullptr;
    }
    Job job;
    job.id = id;
    job.digest = recovered.starts.front().report.digest();
    job.taskCount = count;
    job.remaining = count;
    job.tasks.resize(count);
    job.deadline = now + settings_.answerGracePeriod;
    Job &inserted = jobs_.insert(std::move(job));
    rebuildJob(inserted, recovered, now);
    return jobs_.find(id);
}

Duration EntryCore::expectedRunTime(const Job &job) const
{
    Duration longest{0};
    Duration work{0};
    for (const Task &task : job.tasks) {
        longest = std::max(longest, task.expected);
        work += task.expected;
    }
    const auto slots = static_cast<std::int64_t>(std::max(membership_.slots(job.service), 1U));
    return std::max(longest, work / slots);
}

Reason EntryCore::checkAdmission(const Job &job, Duration *retryAfter) const
{
    const ServiceConfig &service = config_.services.find(job.service)->second;
    const auto team = config_.teams.find(job.team);
    const std::uint32_t waiting = dispatcher_.waiting(job.service);
    const auto slots = static_cast<std::int64_t>(membership_.slots(job.service));
    const Duration backlog = dispatcher_.backlog(job.service) + membership_.totalPeerBacklog(job.service);
    *retryAfter = slots == 0 ? settings_.membership.agentLossTimeout : backlog / slots;
    if (waiting + job.taskCount > service.queueLimit) {
        return Reason::QueueFull;
    }
    if (team != config_.teams.end() && dispatcher_.teamWaiting(job.service, job.team) + job.taskCount > team->second.maxWaiting) {
        return Reason::TeamQuota;
    }
    // The estimate is a mean. Without a margin, many of the jobs admitted last would miss their deadline and the slots they used would be
    // wasted.
    const Duration available = (job.deadline - job.phaseSince) * MAX_ESTIMATE_PERCENT / 100;
    const bool isLate = slots > 0 && *retryAfter + expectedRunTime(job) > available;
    return settings_.admitByEstimate && isLate ? Reason::DeadlineUnreachable : Reason::None;
}

void EntryCore::admitJob(Job &job, Instant now)
{
    if (!config_.services.contains(job.service)) {
        failJob(job, Reason::UnknownService, job.service, now);
        return;
    }
    Duration retryAfter{0};
    const Reason refusal = checkAdmission(job, &retryAfter);
    if (refusal != Reason::None) {
        wire::Answer answer = makeAnswer(job.id, wire::ANSWER_REFUSED, refusal);
        answer.set_retry_after_ms(static_cast<std::uint32_t>(toMillis(retryAfter)));
        finalizeAnswer(job, std::move(answer), now);
        return;
    }
    counters_.add("entry_jobs_admitted");
    jobs_.setPhase(job, JobPhase::Active, now);
    enqueueWaitingTasks(job, now);
    dispatchTasks(job.service, now);
}

void EntryCore::enqueueWaitingTasks(Job &job, Instant now)
{
    const auto service = config_.services.find(job.service);
    const Duration longAfter = Millis(service == config_.services.end() ? 0 : service->second.longAfterMs);
    const auto team = config_.teams.find(job.team);
    std::vector<WaitingTask> tasks;
    for (std::uint32_t index = 0; index < job.taskCount; ++index) {
        const Task &task = job.tasks[index];
        if (task.phase == TaskPhase::Waiting) {
            tasks.push_back({TaskIndex{index}, task.expected, task.expected >= longAfter});
        }
    }
    if (tasks.empty()) {
        return;
    }
    const std::uint32_t weight = team == config_.teams.end() ? 1 : team->second.weight;
    dispatcher_.enqueue(job.service, job.team, weight, job.sequence, std::move(tasks), membership_.slots(job.service), now);
    newestQueuedJob_ = std::max(newestQueuedJob_, job.sequence);
}

void EntryCore::dispatchTasks(std::string_view service, Instant now)
{
    const std::string name(service);
    passCreditsToPeers(name, now);
    while (const auto assignment = dispatcher_.next(name, now)) {
        sendGrant(*assignment, now);
    }
    if (dispatcher_.waiting(name) > 0) {
        requestCredits(name, now);
    }
}

void EntryCore::sendGrant(const Assignment &assignment, Instant now)
{
    Job &job = *jobs_.find(assignment.job);
    Task &task = job.tasks[static_cast<std::uint32_t>(assignment.task)];
    task.phase = TaskPhase::Granted;
    task.agent = assignment.agent;
    ++job.started;
    outstandingTasks_[assignment.agent][{job.id, assignment.task}] = {job.sequence, job.service};

    wire::Message message;
    wire::Grant *grant = message.mutable_grant();
    grant->set_submission_id(job.id);
    grant->set_index(static_cast<std::uint32_t>(assignment.task));
    grant->set_task_count(job.taskCount);
    grant->set_digest(job.digest);
    grant->set_kind(job.kind);
    grant->set_payload(task.payload);
    grant->set_stamp(membership_.findAgent(assignment.agent)->stamp);
    grant->set_time_left_ms(static_cast<std::uint32_t>(toMillis(job.deadline - now)));
    grant->set_waiting(dispatcher_.waiting(job.service));
    grant->set_long_task(assignment.isLong);
    const auto service = config_.services.find(job.service);
    grant->set_long_after_ms(service == config_.services.end() ? 0 : service->second.longAfterMs);
    grant->set_short_credit(assignment.usesShortOnlyCredit);
    counters_.add("entry_grants");
    output_.sendToAgent(assignment.agent, std::move(message));
}

void EntryCore::requestCredits(const std::string &service, Instant now)
{
    CreditRequestState &lastRequest = creditRequests_[service];
    const bool hasNewJob = newestQueuedJob_ > lastRequest.newestJob;
    if (now < lastRequest.validUntil && !hasNewJob) {
        return;
    }
    const std::vector<WaitingJobSummary> jobs = dispatcher_.mostUrgentJobs(service, MAX_JOBS_PER_CREDIT_REQUEST);
    if (jobs.empty()) {
        return;
    }
    lastRequest = {newestQueuedJob_, now + CREDIT_REQUEST_LIFETIME};
    wire::Message message;
    wire::CreditRequest *request = message.mutable_credit_request();
    request->set_service(service);
    for (const WaitingJobSummary &job : jobs) {
        wire::JobDemand *demand = request->add_jobs();
        demand->set_rank_ms(std::chrono::duration_cast<Millis>(job.rank - now).count());
        demand->set_tasks(job.tasks);
    }
    for (const Incarnation peer : membership_.connectedPeers()) {
        counters_.add("entry_credit_requests");
        output_.sendToPeer(peer, message);
    }
}

void EntryCore::passCreditsToPeers(const std::string &service, Instant now)
{
    const auto found = peerDemands_.find(service);
    if (found == peerDemands_.end()) {
        return;
    }
    const auto ownRank = dispatcher_.headRank(service);
    for (auto &[peer, demand] : found->second) {
        if (now >= demand.validUntil) {
            demand.jobs.clear();
        }
        std::uint32_t amount = 0;
        while (!demand.jobs.empty() && dispatcher_.idleCredits(service) > amount) {
            WaitingJobSummary &job = demand.jobs.front();
            if (ownRank && job.rank + CREDIT_TRANSFER_RANK_MARGIN >= *ownRank) {
                break;
            }
            const std::uint32_t taken = std::min(job.tasks, dispatcher_.idleCredits(service) - amount);
            amount += taken;
            job.tasks -= taken;
            if (job.tasks == 0) {
                demand.jobs.pop_front();
            }
        }
        transferCredits(service, peer, amount);
    }
}

void EntryCore::transferCredits(const std::string &service, Incarnation peer, std::uint32_t wanted)
{
    for (const auto &[agent, credits] : dispatcher_.takeIdleCredits(service, wanted)) {
        wire::Message message;
        message.mutable_credit_return()->set_general(credits.general);
        message.mutable_credit_return()->set_short_only(credits.shortOnly);
        message.mutable_credit_return()->set_give_to(toWire(peer));
        counters_.add("entry_credits_passed_on", credits.total());
        output_.sendToAgent(agent, std::move(message));
    }
}

void EntryCore::onTaskReport(Incarnation agent, const wire::TaskReport &report, Instant now)
{
    if (report.credit()) {
        dispatcher_.addCredits(agent, {report.credit_short_only() ? 0U : 1U, report.credit_short_only() ? 1U : 0U});
    }
    const TaskKey key{report.submission_id(), TaskIndex{report.index()}};
    auto &tasks = outstandingTasks_[agent];
    const auto found = tasks.find(key);
    if (found == tasks.end() || report.state() == wire::TASK_RUNNING) {
        if (const AgentView *view = membership_.findAgent(agent)) {
            dispatchTasks(view->service, now);
        }
        return;
    }
    const OutstandingTask outstanding = found->second;
    tasks.erase(found);
    dispatcher_.onTaskEnded(outstanding.service);
    const bool ran = report.state() != wire::TASK_NOT_RUN;
    const bool endpointAbsent = report.reason() == static_cast<std::uint32_t>(Reason::EndpointAbsent);
    if ((ran || endpointAbsent) && dispatcher_.onTaskOutcome(agent, report.state() == wire::TASK_COMPLETE, now)) {
        counters_.add("entry_quarantine_changes");
    }
    Job *job = jobs_.find(outstanding.job);
    if (job != nullptr && job->phase == JobPhase::Active) {
        applyTaskReport(*job, job->tasks[report.index()], report, now);
    }
    dispatchTasks(outstanding.service, now);
}

void EntryCore::applyTaskReport(Job &job, Task &task, const wire::TaskReport &report, Instant now)
{
    switch (report.state()) {
    case wire::TASK_COMPLETE:
        estimator_.recordRunTime(job.service, job.kind, task.declaredMs, Millis(report.run_ms()));
        task.phase = TaskPhase::Done;
        task.result = report.payload();
        task.payload.clear();
        jobs_.addBytes(task.result.size());
        --job.remaining;
        if (job.remaining == 0) {
            completeJob(job, now);
        }
        return;
    case wire::TASK_NOT_RUN:
        onTaskNotRun(job, task, report, now);
        return;
    case wire::TASK_LOST:
        failJob(job, Reason::EndpointLost, fmt::format("task {}", report.index()), now);
        return;
    default:
        failJob(job, report.reason() == 0 ? Reason::TaskFailed : static_cast<Reason>(report.reason()),
                fmt::format("task {}: {}", report.index(), report.payload()), now);
        return;
    }
}

void EntryCore::onTaskNotRun(Job &job, Task &task, const wire::TaskReport &report, Instant now)
{
    counters_.add("entry_retries", static_cast<Reason>(report.reason()));
    task.phase = TaskPhase::Waiting;
    task.agent = INVALID_INCARNATION;
    --job.started;
    ++task.refusals;
    const auto service = config_.services.find(job.service);
    if (service != config_.services.end() && task.refusals > service->second.grantRetries) {
        failJob(job, Reason::RetryBudgetSpent, fmt::format("task {}", report.index()), now);
        return;
    }
    const bool isLong = service != config_.services.end() && task.expected >= Millis(service->second.longAfterMs);
    const auto team = config_.teams.find(job.team);
    const std::uint32_t weight = team == config_.teams.end() ? 1 : team->second.weight;
    std::vector<WaitingTask> tasks{{TaskIndex{report.index()}, task.expected, isLong}};
    dispatcher_.enqueue(job.service, job.team, weight, job.sequence, std::move(tasks), membership_.slots(job.service), now);
}

void EntryCore::markTasksLost(Incarnation agent, Instant now)
{
    const auto found = outstandingTasks_.find(agent);
    if (found == outstandingTasks_.end()) {
        return;
    }
    std::vector<wire::TaskReport> reports;
    for (const auto &[key, outstanding] : found->second) {
        wire::TaskReport &report = reports.emplace_back();
        report.set_submission_id(key.submission);
        report.set_index(static_cast<std::uint32_t>(key.index));
        report.set_state(wire::TASK_LOST);
    }
    for (const wire::TaskReport &report : reports) {
        onTaskReport(agent, report, now);
    }
}

void EntryCore::stopTasks(Job &job, bool stopRunning)
{
    dispatcher_.cancel(job.service, job.sequence);
    if (!stopRunning) {
        return;
    }
    absl::btree_map<Incarnation, wire::Message> messages;
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        const Task &task = job.tasks[index];
        if (task.phase != TaskPhase::Granted) {
            continue;
        }
        wire::TaskRef *ref = messages[task.agent].mutable_task_cancel()->add_tasks();
        ref->set_submission_id(job.id);
        ref->set_index(index);
    }
    for (auto &[agent, message] : messages) {
        output_.sendToAgent(agent, std::move(message));
    }
}

void EntryCore::failJob(Job &job, Reason reason, std::string detail, Instant now)
{
    if (job.mayBeAnsweredComplete) {
        // The removed home entry may have answered the job as complete, so it must not be answered as failed.
        dispatcher_.cancel(job.service, job.sequence);
        answerUnknown(job, Reason::TakeoverIncomplete, now);
        return;
    }
    const bool neverStarted = job.started == 0;
    if (neverStarted && reason == Reason::Cancelled) {
        reason = Reason::CancelledBeforeStart;
    }
    if (neverStarted && reason == Reason::DeadlinePassed) {
        reason = Reason::DeadlineBeforeStart;
    }
    // Unless the job was cancelled, running tasks of a non-idempotent job are left to finish: aborting one midway may do more harm than
    // letting it run.
    const bool stopRunning = reason == Reason::Cancelled || job.idempotent;
    stopTasks(job, stopRunning);
    finalizeAnswer(job, makeAnswer(job.id, neverStarted ? wire::ANSWER_REFUSED : wire::ANSWER_FAILED, reason, std::move(detail)), now);
}

void EntryCore::completeJob(Job &job, Instant now)
{
    wire::Answer answer = makeAnswer(job.id, wire::ANSWER_COMPLETE, Reason::None);
    for (Task &task : job.tasks) {
        answer.add_results(std::move(task.result));
    }
    job.answer = std::move(answer);
    deliverAnswer(job, now);
}

void EntryCore::finalizeAnswer(Job &job, wire::Answer answer, Instant now)
{
    job.answer = std::move(answer);
    job.answer.set_digest(job.digest);
    const bool isMintedHere = mintedHome(job.id) == settings_.membership.incarnation;
    const bool isOnlyMember = membership_.otherMembers().empty();
    // A refusal or failure is recorded at another entry before it is delivered, so that an entry that takes over the submission gives the
    // same answer.
    if (isMintedHere || (isOnlyMember && membership_.isMember())) {
        deliverAnswer(job, now);
        return;
    }
    jobs_.setPhase(job, JobPhase::AwaitingWitness, now);
    requestWitness(job, now);
}

void EntryCore::deliverAnswer(Job &job, Instant now)
{
    job.answer.set_digest(job.digest);
    switch (job.answer.kind()) {
    case wire::ANSWER_COMPLETE:
        counters_.add("entry_answers_complete");
        break;
    case wire::ANSWER_REFUSED:
        counters_.add("entry_answers_refused", static_cast<Reason>(job.answer.reason()));
        break;
    default:
        counters_.add("entry_answers_failed", static_cast<Reason>(job.answer.reason()));
        break;
    }
    const std::vector<Waiter> waiters = std::move(job.waiters);
    jobs_.setAnswered(job, now);
    for (const Waiter &waiter : waiters) {
        sendAnswer(waiter, job.answer, false);
    }
}

void EntryCore::answerUnknown(Job &job, Reason reason, Instant now)
{
    counters_.add("entry_answers_unknown", reason);
    const wire::Answer unknown = makeAnswer(job.id, wire::ANSWER_UNKNOWN, reason);
    const std::vector<Waiter> waiters = std::move(job.waiters);
    job.waiters.clear();
    if (job.phase != JobPhase::AwaitingWitness) {
        jobs_.erase(job);
    } else {
        job.witnessRetryAt = now + settings_.resendInterval;
    }
    for (const Waiter &waiter : waiters) {
        sendAnswer(waiter, unknown, false);
    }
}

void EntryCore::cancelJob(Job &job, Instant now)
{
    if (job.phase == JobPhase::Active) {
        failJob(job, Reason::Cancelled, {}, now);
    }
}

wire::Answer EntryCore::currentAnswer(const Job &job) const
{
    return job.phase == JobPhase::Answered ? job.answer : makeAnswer(job.id, wire::ANSWER_PENDING, Reason::None);
}

void EntryCore::tickJobs(Instant now)
{
    for (const JobSequence sequence : jobs_.awaitingOwnership()) {
        if (Job *job = jobs_.find(sequence)) {
            resolveOwnership(*job, now);
        }
    }
    for (const JobSequence sequence : jobs_.overdue(now)) {
        Job *job = jobs_.find(sequence);
        if (job->phase == JobPhase::AwaitingOwnership) {
            answerUnknown(*job, Reason::TakeoverIncomplete, now);
        } else if (job->phase == JobPhase::Active) {
            failJob(*job, Reason::DeadlinePassed, {}, now);
        }
    }
    for (const JobSequence sequence : jobs_.awaitingWitness()) {
        Job &job = *jobs_.find(sequence);
        if (!job.waiters.empty() && now >= job.phaseSince + settings_.witnessTimeout) {
            answerUnknown(job, Reason::WitnessMissing, now);
        }
        if (now >= job.witnessRetryAt) {
            requestWitness(job, now);
        }
    }
    dispatcher_.tick(now);
    for (const std::string &service : dispatcher_.servicesWithWaitingTasks()) {
        dispatchTasks(service, now);
    }
}

}
