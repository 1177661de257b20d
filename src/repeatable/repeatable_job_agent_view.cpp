/** @file repeatable_job_agent_view.cpp Decisions of the agent about repeatable jobs: what the endpoint says of itself and of its runs. */

#include "core/reason_table.h"
#include "repeatable/repeatable_job_agent.h"

#include <algorithm>
#include <fmt/format.h>

namespace medlarmill
{

namespace
{

constexpr Millis LOOK_WAIT{150}; ///< How long the endpoint waits for an end before it answers a look.
constexpr Millis SHORT_LOOK_WAIT{40}; ///< The same after looks without an answer: an end that such a look misses is seen sooner.
constexpr int SHORT_LOOKS = 20; ///< Looks with the shorter wait after one without an answer.
constexpr Duration LOOK_TIMEOUT = Millis(40); ///< Time for the answer of a look beyond its wait; most take 2 ms.
constexpr int MISSED_LIMIT = 4; ///< Looks in a row without an answer after which the endpoint counts as silent: within 430 ms.
constexpr int STALL_SHARE = 40; ///< A run that makes no progress for this percentage of its expected time stands still.
constexpr std::uint32_t WHOLE = 100; ///< Percent of a run that has only its end left.
constexpr Duration STALL_LEAST = Millis(120); ///< Added to that time: progress is told with each look, every 150 ms at least.
constexpr Duration LOOK_RETRY = Millis(50); ///< Pause before the next look at an endpoint that does not answer.
constexpr Duration CLOCK_SLACK = Millis(20); ///< Difference that the mapping of clocks may have.

}

bool RepeatableJobAgent::onNotice(const EndpointNotice &notice, Instant now)
{
    now_ = now;
    if (notice.terminated) {
        if (!notice_.has_value() || notice_->id != notice.id) {
            return false;
        }
        log_.info(fmt::format("event=endpoint_gone endpoint={} held={}", notice.id, runs_.size()));
        notice_->terminated = true;
        loseAll(Reason::EndpointRestarted, now);
        reportLoad(now);
        return true;
    }
    const bool same = notice_.has_value() && notice.id == notice_->id && notice.startUnixMs == notice_->startUnixMs;
    if (notice.startUnixMs < newestBorn_ || (same && notice.sequence <= notice_->sequence)) {
        counters_.add("agent_notices_late");
        log_.info(
            fmt::format("event=notice_ignored endpoint={} born={} seq={} reason=late", notice.id, notice.startUnixMs, notice.sequence));
        return false;
    }
    if (!same) {
        if (notice_.has_value() && notice_->id == notice.id && !notice_->terminated) {
            // Starts under way may have been carried out by the new incarnation; its next list tells which runs are there.
            log_.warn(fmt::format("event=endpoint_reborn endpoint={} born={} held={}", notice.id, notice.startUnixMs, runs_.size()));
        } else {
            loseAll(Reason::EndpointRestarted, now);
            responsive_ = false;
            lookPending_ = false;
        }
        beginIncarnation(notice.startUnixMs, notice.clockMs);
        nextLook_ = now;
        log_.info(fmt::format("event=endpoint_up endpoint={} service={} address={} born={} cpu={} mem_mb={} token={}", notice.id,
                              notice.service, notice.address, notice.startUnixMs, notice.capacity.cpu, notice.capacity.memMb,
                              fencingToken_));
    } else if (notice.draining != notice_->draining) {
        log_.info(fmt::format("event=endpoint_state endpoint={} draining={} held={}", notice.id, notice.draining, runs_.size()));
    }
    notice_ = notice;
    learnClock(notice.clockMs, now);
    markDirty();
    if (!lookPending_ && now >= nextLook_) {
        look(now);
    }
    reportLoad(now);
    return true;
}

void RepeatableJobAgent::beginIncarnation(std::uint64_t startUnixMs, std::uint64_t clockMs)
{
    ++incarnation_;
    newestBorn_ = startUnixMs;
    health_.reset();
    acknowledged_ = 0;
    clockMs_ = 0;
    // Higher than before: orders to an earlier incarnation that are carried out late are refused.
    fencingToken_ = std::max(fencingToken_ + 1, clockMs);
}

void RepeatableJobAgent::learnClock(std::uint64_t clockMs, Instant now)
{
    if (clockMs > clockMs_) {
        clockMs_ = clockMs;
        clockAt_ = now;
    }
}

void RepeatableJobAgent::look(Instant now)
{
    if (!notice_.has_value() || notice_->terminated) {
        return;
    }
    lookPending_ = true;
    const Millis wait = !responsive_ ? Millis(0) : shortLooks_ > 0 ? SHORT_LOOK_WAIT : LOOK_WAIT;
    shortLooks_ = std::max(0, shortLooks_ - 1);
    EndpointCall call = makeCall(responsive_ && !runs_.empty(), now);
    call.timeout = wait + LOOK_TIMEOUT;
    const std::uint64_t generation = generation_;
    endpoint_.poll(call, acknowledged_, wait, [this, generation, now](const EndpointPollResult &view) {
        now_ = view.answer.at;
        if (generation == generation_) {
            lookPending_ = false;
            onView(view, now);
        }
    });
}

void RepeatableJobAgent::lookAtOnce(Instant now)
{
    if (quickLookPending_ || !notice_.has_value() || notice_->terminated) {
        return;
    }
    quickLookPending_ = true;
    EndpointCall call = makeCall(false, now);
    call.timeout = LOOK_TIMEOUT;
    const std::uint64_t generation = generation_;
    endpoint_.poll(call, acknowledged_, Millis(0), [this, generation, now](const EndpointPollResult &view) {
        now_ = view.answer.at;
        if (generation != generation_) {
            return;
        }
        quickLookPending_ = false;
        if (view.answer.status == EndpointCallStatus::Accepted) {
            takeView(view, now, now_);
            startQueued(now_);
            reportLoad(now_);
        }
    });
}

void RepeatableJobAgent::onView(const EndpointPollResult &view, Instant sentAt)
{
    const Instant now = now_;
    switch (view.answer.status) {
    case EndpointCallStatus::Accepted:
        looksMissed_ = 0;
        if (!responsive_) {
            responsive_ = true;
            log_.info(fmt::format("event=endpoint_answers endpoint={} present={}", notice_->id, view.active.size()));
            markDirty();
        }
        takeView(view, sentAt, now);
        nextLook_ = now;
        break;
    case EndpointCallStatus::Fenced:
        fencingToken_ = std::max(fencingToken_ + 1, view.answer.clockMs);
        log_.warn(fmt::format("event=fenced endpoint={} new_token={}", notice_->id, fencingToken_));
        nextLook_ = now;
        break;
    case EndpointCallStatus::ConnectionRefused:
    case EndpointCallStatus::OtherIncarnation:
        loseAll(Reason::EndpointRestarted, now);
        nextLook_ = now + LOOK_RETRY * 4;
        break;
    default:
        onViewMissing(now);
        break;
    }
    startQueued(now);
    if (!lookPending_ && now >= nextLook_) {
        look(now);
    }
    reportLoad(now);
}

void RepeatableJobAgent::onViewMissing(Instant now)
{
    ++looksMissed_;
    shortLooks_ = SHORT_LOOKS;
    counters_.add("agent_looks_unanswered");
    nextLook_ = now;
    if (looksMissed_ < MISSED_LIMIT) {
        return; // One answer may be lost; the next look extends the lease in time.
    }
    if (responsive_) {
        responsive_ = false;
        log_.warn(fmt::format("event=endpoint_silent endpoint={} held={} looks_missed={}", notice_->id, runs_.size(), looksMissed_));
        markDirty();
    }
    if (now > leaseEnd_ + settings_.maxStopTime + CLOCK_SLACK) {
        loseAll(Reason::LeaseLapsed, now);
    }
    nextLook_ = now + LOOK_RETRY;
}

void RepeatableJobAgent::takeView(const EndpointPollResult &view, Instant sentAt, Instant now)
{
    if (view.startUnixMs != 0 && view.startUnixMs < notice_->startUnixMs) {
        counters_.add("agent_views_late");
        return; // The list of an earlier incarnation.
    }
    if (view.startUnixMs > notice_->startUnixMs) {
        log_.warn(fmt::format("event=endpoint_reborn endpoint={} born={} held={}", notice_->id, view.startUnixMs, runs_.size()));
        notice_->startUnixMs = view.startUnixMs;
        notice_->sequence = 0;
        beginIncarnation(view.startUnixMs, view.answer.clockMs);
    }
    learnClock(view.answer.clockMs, now);
    takeEnds(view, now);
    compareWithList(view, sentAt, now);
}

void RepeatableJobAgent::stopStalled(Instant now)
{
    std::vector<RunKey> stalled;
    for (const auto &[key, run] : runs_) {
        const Duration limit = run.expected * STALL_SHARE / 100 + STALL_LEAST;
        if (run.state == RunState::Running && run.progress < WHOLE && run.listedAt - run.progressAt > limit) {
            stalled.push_back(key);
        }
    }
    for (const RunKey &key : stalled) {
        const auto found = runs_.find(key);
        if (found == runs_.end()) {
            continue;
        }
        Run &run = found->second;
        log_.warn(fmt::format("event=run_stalled id={} group={} index={} attempt={} progress={} unchanged_ms={} expected_ms={}",
                              run.name.submission, run.name.group, run.name.index, run.name.attempt, run.progress,
                              toMillis(run.listedAt - run.progressAt), toMillis(run.expected)));
        if (health_.onFailure(run.name.submission, now)) {
            counters_.add("agent_endpoint_out");
            log_.warn(fmt::format("event=endpoint_out endpoint={} reason=runs_stall last_id={}", notice_->id, run.name.submission));
        }
        stop(key, run, Reason::Stalled, now);
    }
}

void RepeatableJobAgent::takeEnds(const EndpointPollResult &view, Instant now)
{
    for (const FinishedRun &end : view.finished) {
        if (end.sequence <= acknowledged_) {
            continue;
        }
        acknowledged_ = end.sequence;
        const auto found = byName_.find(end.name);
        if (found == byName_.end()) {
            counters_.add("agent_ends_unknown");
            continue;
        }
        onEnd(RunKey(found->second), end, now);
    }
}

void RepeatableJobAgent::onEnd(const RunKey &key, const FinishedRun &end, Instant now)
{
    Run &run = runs_.at(key);
    run.startedAt = std::min(run.startedAt, now);
    switch (end.kind) {
    case FinishKind::Done:
        health_.onCompletion(run.expected, now - run.startedAt);
        finish(key, repeat::RUN_DONE, Reason::None, now);
        return;
    case FinishKind::Failed:
        if (health_.onFailure(run.name.submission, now)) {
            counters_.add("agent_endpoint_out");
            log_.warn(fmt::format("event=endpoint_out endpoint={} reason=runs_fail last_id={}", notice_->id, run.name.submission));
        }
        finish(key, repeat::RUN_FAILED, Reason::TaskFailed, now);
        return;
    case FinishKind::LeaseExpired:
        finish(key, repeat::RUN_LOST, Reason::LeaseLapsed, now);
        return;
    default:
        finish(key, repeat::RUN_LOST, run.reason == Reason::None ? Reason::StoppedByOrder : run.reason, now);
        return;
    }
}

void RepeatableJobAgent::compareWithList(const EndpointPollResult &view, Instant sentAt, Instant now)
{
    absl::btree_set<RunName> present;
    for (const ActiveRun &item : view.active) {
        present.insert(item.name);
        const auto known = byName_.find(item.name);
        if (known == byName_.end()) {
            stopForeign(item.name, now);
            continue;
        }
        Run &run = runs_.at(known->second);
        run.startedAt = std::min(run.startedAt, now);
        run.listedAt = now;
        if (item.progress != run.progress || run.progressAt == Instant()) {
            run.progress = item.progress;
            run.progressAt = now;
        }
        if (run.state == RunState::Starting) {
            run.state = RunState::Running;
        }
    }
    std::vector<RunKey> missing;
    for (const auto &[key, run] : runs_) {
        if (present.contains(run.name)) {
            continue;
        }
        const bool wasRunning = run.state == RunState::Running && run.startedAt < sentAt;
        const bool wasStopped = run.state == RunState::Stopping && run.stopAcceptedAt != NEVER && run.stopAcceptedAt < sentAt;
        const bool neverArrived = run.state == RunState::Stopping && run.lastLeaseEnd + CLOCK_SLACK < sentAt;
        if (wasRunning || wasStopped || neverArrived) {
            missing.push_back(key);
        }
    }
    for (const RunKey &key : missing) {
        const Run &run = runs_.at(key);
        const bool ran = run.startedAt != NEVER;
        finish(key, ran ? repeat::RUN_LOST : repeat::RUN_NOT_STARTED, run.reason == Reason::None ? Reason::EndpointRestarted : run.reason,
               now);
    }
}

void RepeatableJobAgent::loseAll(Reason reason, Instant now)
{
    ++generation_;
    lookPending_ = false;
    quickLookPending_ = false;
    responsive_ = false;
    if (!runs_.empty()) {
        log_.warn(fmt::format("event=runs_lost count={} reason={}", runs_.size(), reasonInfo(reason).code));
    }
    while (!runs_.empty()) {
        const auto first = runs_.begin();
        const RunKey key = first->first;
        const bool queued = first->second.state == RunState::Queued;
        finish(key, queued ? repeat::RUN_NOT_STARTED : repeat::RUN_LOST, reason, now);
    }
    markDirty();
}

}
