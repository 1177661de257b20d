/** @file fake_endpoint.cpp Simulated endpoint with leases, attempt numbers and fencing tokens, and the oracle. */

#include "fake_endpoint.h"

#include <algorithm>
#include <fmt/format.h>

namespace medlarmill::fake
{

namespace
{

constexpr std::uint64_t MAX_LEASE_MS = 1'000;
constexpr Duration RESIZE_GRACE = Millis(4'500); ///< Time of contact and one announcement; then a smaller capacity counts.
constexpr Duration STOP_DURATION = Millis(50);

TaskKey taskKeyOf(const RunName &run)
{
    return {run.submission, run.group, run.index};
}

}

void Oracle::addViolation(std::string what, Instant now)
{
    violations.push_back(fmt::format("{} ms: {}", toMillis(now.time_since_epoch()), what));
}

void Oracle::onStart(int endpoint, const RunName &run, Instant now)
{
    ++starts;
    Task &task = tasks_[taskKeyOf(run)];
    if (!task.runningOn.empty()) {
        addViolation(fmt::format("task {}.{}.{} started on endpoint {} while running on endpoint {}", run.submission, run.group, run.index,
                                 endpoint, *task.runningOn.begin()),
                     now);
    }
    task.runningOn.insert(endpoint);
    if (task.crashes >= 3 && ++task.startsAfterThreeCrashes >= 3) {
        addViolation(fmt::format("task {}.{}.{} started three times more after it had crashed three endpoints", run.submission, run.group,
                                 run.index),
                     now);
    }
    JobRecord &job = jobs_[run.submission];
    job.started = true;
    job.lastStart = now;
    if (job.openSubmissions == 0 && job.completed) {
        addViolation(fmt::format("task {}.{}.{} started after its job was answered as complete", run.submission, run.group, run.index),
                     now);
    }
}

void Oracle::onEnd(int endpoint, const RunName &run, bool done, Instant now)
{
    Task &task = tasks_[taskKeyOf(run)];
    task.runningOn.erase(endpoint);
    if (done) {
        task.lastCompletion = now;
    }
}

void Oracle::onCrash(const RunName &culprit)
{
    ++crashes;
    mostCrashes = std::max(mostCrashes, ++tasks_[taskKeyOf(culprit)].crashes);
}

void Oracle::onSubmit(const std::string &id, Instant /*now*/)
{
    JobRecord &job = jobs_[id];
    ++job.openSubmissions;
    job.completed = false;
}

void Oracle::onAnswer(const std::string &id, const RepeatableJob &job, JobResult result, Instant submittedAt, Instant now)
{
    JobRecord &record = jobs_[id];
    --record.openSubmissions;
    record.allNotRun = record.allNotRun && result == JobResult::NotRun;
    notRun += result == JobResult::NotRun ? 1 : 0;
    abandoned += result == JobResult::Abandoned ? 1 : 0;
    failed += result == JobResult::Failed ? 1 : 0;
    if (result == JobResult::NotRun && record.lastStart > submittedAt) {
        addViolation(fmt::format("job {} was answered as not run, but a task started after its submission", id), now);
    }
    if (result != JobResult::Complete) {
        return;
    }
    ++complete;
    record.completed = true;
    for (std::uint32_t group = 0; group < job.groups.size(); ++group) {
        for (std::uint32_t index = 0; index < job.groups[group].count; ++index) {
            if (tasks_[{id, group, index}].lastCompletion == Instant()) {
                addViolation(fmt::format("job {} was answered as complete, but task {}.{} never completed", id, group, index), now);
            }
        }
    }
}

void Oracle::onConnectionClosed(const std::string &id)
{
    JobRecord &record = jobs_[id];
    --record.openSubmissions;
    record.allNotRun = false;
}

void Oracle::onOverCapacity(int endpoint, Instant now)
{
    addViolation(fmt::format("endpoint {} is over its capacity", endpoint), now);
}

void Oracle::finish()
{
    for (const auto &[id, job] : jobs_) {
        if (job.started && job.allNotRun && job.openSubmissions == 0) {
            violations.push_back(fmt::format("job {} started, but every submission was answered as not run", id));
        }
    }
}

std::uint64_t FakeEndpoint::clock(Instant now) const
{
    return clockStartMs + static_cast<std::uint64_t>(static_cast<double>(toMillis(now - startedAt_)) * clockRate);
}

bool FakeEndpoint::isFenced(const EndpointCall &call)
{
    if (checksFencing && call.fencingToken < fencingToken_) {
        return true;
    }
    fencingToken_ = call.fencingToken;
    return false;
}

void FakeEndpoint::extendLease(const EndpointCall &call)
{
    leaseExpiryMs_ = std::max(leaseExpiryMs_, call.leaseExpiryMs);
}

void FakeEndpoint::endRun(const RunName &run, FinishKind kind, Instant now)
{
    runs_.erase(run);
    unacknowledgedRuns_.push_back({nextEndSequence_++, run, kind});
    std::uint32_t &attemptFloor = attemptFloors_[taskKeyOf(run)];
    attemptFloor = std::max(attemptFloor, run.attempt);
    oracle_.onEnd(number_, run, kind == FinishKind::Done, now);
}

void FakeEndpoint::advance(Instant now)
{
    std::vector<std::pair<RunName, FinishKind>> ended;
    const bool lapsed = clock(now) > std::min(leaseExpiryMs_, clock(now) + MAX_LEASE_MS);
    for (const auto &[name, run] : runs_) {
        if (lapsed) {
            ended.emplace_back(name, FinishKind::LeaseExpired);
        } else if (run.endsAt <= now && (!stalled || run.stopping)) {
            ended.emplace_back(name, run.stopping ? FinishKind::Stopped : run.fails ? FinishKind::Failed : FinishKind::Done);
        }
    }
    for (const auto &[name, kind] : ended) {
        endRun(name, kind, now);
    }
}

EndpointAnswer FakeEndpoint::start(const EndpointCall &call, const RunName &run, Duration work, bool fails, Resources demand, Instant now)
{
    advance(now);
    EndpointAnswer answer;
    answer.at = now;
    answer.clockMs = clock(now);
    // As the connection finds when it asks for the process before it sends the start.
    if (call.expectedStartMs != 0 && call.expectedStartMs != notice(now).startUnixMs) {
        answer.status = EndpointCallStatus::OtherProcess;
        return answer;
    }
    if (call.endpointId != notice(now).id) {
        answer.status = EndpointCallStatus::OtherIncarnation;
        return answer;
    }
    if (isFenced(call)) {
        answer.status = EndpointCallStatus::Fenced;
        return answer;
    }
    if (call.leaseExpiryMs <= clock(now)) {
        answer.status = EndpointCallStatus::DeadlinePassed;
        return answer;
    }
    answer.status = EndpointCallStatus::Accepted;
    if (runs_.contains(run)) {
        extendLease(call);
        return answer;
    }
    extendLease(call);
    if (run.attempt <= attemptFloors_[taskKeyOf(run)]) {
        answer.status = EndpointCallStatus::OldAttempt;
        return answer;
    }
    Resources free = capacity;
    for (const auto &[name, other] : runs_) {
        free.subtract(other.demand);
    }
    if (!demand.fitsInto(free)) {
        if (enforcesCapacity) {
            answer.status = EndpointCallStatus::NoRoom;
            return answer;
        }
        Resources allowed = now < allowedUntil_ ? allowedCapacity_ : capacity;
        for (const auto &[name, other] : runs_) {
            allowed.subtract(other.demand);
        }
        if (!demand.fitsInto(allowed)) {
            oracle_.onOverCapacity(number_, now);
        }
    }
    runs_[run] = {demand, now, now + std::chrono::duration_cast<Duration>(work * slowdown), fails};
    oracle_.onStart(number_, run, now);
    return answer;
}

EndpointAnswer FakeEndpoint::stop(const EndpointCall &call, const RunName &run, Instant now)
{
    advance(now);
    EndpointAnswer answer;
    answer.at = now;
    answer.clockMs = clock(now);
    if (call.endpointId != notice(now).id) {
        answer.status = EndpointCallStatus::OtherIncarnation;
        return answer;
    }
    if (isFenced(call)) {
        answer.status = EndpointCallStatus::Fenced;
        return answer;
    }
    answer.status = EndpointCallStatus::Accepted;
    std::uint32_t &attemptFloor = attemptFloors_[taskKeyOf(run)];
    attemptFloor = std::max(attemptFloor, run.attempt);
    if (const auto found = runs_.find(run); found != runs_.end()) {
        found->second.stopping = true;
        found->second.endsAt = std::min(found->second.endsAt, now + STOP_DURATION / 2);
    }
    return answer;
}

EndpointPollResult FakeEndpoint::poll(const EndpointCall &call, std::uint64_t acknowledged, Instant now)
{
    advance(now);
    EndpointPollResult result;
    result.answer.at = now;
    result.answer.clockMs = clock(now);
    result.startUnixMs = notice(now).startUnixMs;
    if (call.endpointId != notice(now).id) {
        result.answer.status = EndpointCallStatus::OtherIncarnation;
        return result;
    }
    if (isFenced(call)) {
        result.answer.status = EndpointCallStatus::Fenced;
        return result;
    }
    result.answer.status = EndpointCallStatus::Accepted;
    extendLease(call);
    std::erase_if(unacknowledgedRuns_, [acknowledged](const FinishedRun &item) {
        return item.sequence <= acknowledged;
    });
    for (const auto &[name, run] : runs_) {
        const Duration work = run.endsAt - run.startedAt;
        const auto progress = stalled || work.count() <= 0 ? 0 : (now - run.startedAt) * 100 / work;
        result.active.push_back({name, static_cast<std::uint32_t>(progress)});
    }
    result.finished = unacknowledgedRuns_;
    return result;
}

void FakeEndpoint::resize(Resources after, Instant now)
{
    allowedCapacity_ = capacity.fitsInto(after) ? after : capacity;
    allowedUntil_ = now + RESIZE_GRACE;
    capacity = after;
}

void FakeEndpoint::crash(Instant now)
{
    advance(now);
    for (const auto &[name, run] : runs_) {
        oracle_.onEnd(number_, name, false, now);
    }
    runs_.clear();
    attemptFloors_.clear();
    unacknowledgedRuns_.clear();
    ++incarnation_;
    idIncarnation_ = keepsId ? idIncarnation_ : incarnation_;
    startedAt_ = now;
    startUnixMs_ = START_UNIX_MS + toMillis(now.time_since_epoch()) + wallClockOffsetMs;
    fencingToken_ = 0;
    leaseExpiryMs_ = 0;
    sequence_ = 0;
    nextEndSequence_ = 1;
    draining = false;
}

EndpointNotice FakeEndpoint::notice(Instant now)
{
    EndpointNotice notice;
    notice.id = fmt::format("i-{}-{}", number_, idIncarnation_);
    notice.service = "desk";
    notice.address = "127.0.0.1:1";
    notice.startUnixMs = announcedStartMs.value_or(startUnixMs_);
    notice.sequence = ++sequence_;
    notice.clockMs = clock(now);
    notice.capacity = capacity;
    notice.draining = draining;
    return notice;
}

}
