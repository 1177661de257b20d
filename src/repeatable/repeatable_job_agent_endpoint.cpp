/** @file repeatable_job_agent_endpoint.cpp Agent state machine for repeatable jobs: endpoint announcements and polls. */

#include "core/reason_table.h"
#include "repeatable/repeatable_job_agent.h"

#include <algorithm>
#include <fmt/format.h>

namespace medlarmill
{

namespace
{

constexpr Millis POLL_WAIT{150}; ///< How long the endpoint may delay the answer to a poll until a run finishes.
constexpr Millis SHORT_POLL_WAIT{40}; ///< The same after an unanswered poll, so that a run listed in the lost answer is seen sooner.
constexpr Millis FOREIGN_POLL_WAIT{10}; ///< The same while runs of an earlier agent process keep others from being started.
constexpr int SHORT_POLL_COUNT = 20; ///< Number of polls with the short wait after an unanswered poll.
constexpr Duration POLL_TIMEOUT = Millis(40); ///< Time limit for the answer to a poll, in addition to the wait; most answers take 2 ms.
constexpr int MISSED_POLLS_LIMIT = 4; ///< Unanswered polls in a row, at most 430 ms, after which the endpoint counts as unresponsive.
constexpr int STALL_PERCENT = 40; ///< Percentage of the expected run time without progress after which a run counts as stalled.
constexpr std::uint32_t FULL_PROGRESS = 100; ///< Progress, in percent, of a run that has done all its work but has not finished yet.
constexpr Duration STALL_MARGIN = Millis(120); ///< Added to the stall limit, since progress is listed only by polls, at least every 150 ms.
constexpr Duration POLL_RETRY_PAUSE = Millis(50); ///< Pause before the next poll of an unresponsive endpoint.
constexpr Duration SUSPECT_WINDOW
    = Millis(50); ///< Runs started at most so long before the last one that the endpoint accepted are suspects of its crash.
constexpr std::size_t CRASH_FORWARDERS = 2; ///< Entries that pass a crash on to all others; one of them may fail meanwhile.
constexpr Duration CLOCK_TOLERANCE = Millis(20); ///< Maximum error when mapping between the endpoint's clock and the agent's.

Duration scaled(Duration time, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
}

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
        finishAllAsLost(Reason::EndpointRestarted, now);
        reportLoad(now);
        return true;
    }
    const bool same = notice_.has_value() && notice.id == notice_->id && notice.startUnixMs == notice_->startUnixMs;
    if (notice.startUnixMs < newestStartUnixMs_ || (same && notice.sequence <= notice_->sequence)) {
        counters_.add("agent_notices_late");
        log_.info(
            fmt::format("event=notice_ignored endpoint={} born={} seq={} reason=late", notice.id, notice.startUnixMs, notice.sequence));
        return false;
    }
    if (!same) {
        earlierDrained_ = notice_.has_value() && (notice_->draining || notice_->terminated);
        if (notice_.has_value() && notice_->id == notice.id && !notice_->terminated) {
            // Starts in flight may have been carried out by the new incarnation; its next list shows which runs exist.
            log_.warn(fmt::format("event=endpoint_reborn endpoint={} born={} held={}", notice.id, notice.startUnixMs, runs_.size()));
        } else {
            finishAllAfterEnd(now);
            responsive_ = false;
            pollPending_ = false;
        }
        beginIncarnation(notice.startUnixMs, notice.clockMs);
        nextPollAt_ = now;
        log_.info(fmt::format("event=endpoint_up endpoint={} service={} address={} born={} cpu={} mem_mb={} token={}", notice.id,
                              notice.service, notice.address, notice.startUnixMs, notice.capacity.cpu, notice.capacity.memMb,
                              fencingToken_));
    } else if (notice.draining != notice_->draining) {
        log_.info(fmt::format("event=endpoint_state endpoint={} draining={} held={}", notice.id, notice.draining, runs_.size()));
    }
    const bool shrunk = same && !notice_->capacity.fitsInto(notice.capacity);
    notice_ = notice;
    coldUntil_ = now + notice.coldLeft;
    if (shrunk) {
        log_.state(fmt::format("event=endpoint_shrunk endpoint={} cpu={} mem_mb={} gpu={} queued={}", notice.id, notice.capacity.cpu,
                               notice.capacity.memMb, notice.capacity.gpu, queue_.size()));
        counters_.add("agent_endpoint_shrunk");
        handBackQueued(Reason::NoRoom);
    }
    updateEndpointClock(notice.clockMs, now);
    markDirty();
    if (!pollPending_ && now >= nextPollAt_) {
        poll(now);
    }
    reportLoad(now);
    return true;
}

void RepeatableJobAgent::beginIncarnation(std::uint64_t startUnixMs, std::uint64_t clockMs)
{
    ++endpointIncarnation_;
    newestStartUnixMs_ = startUnixMs;
    health_.reset();
    probationUntil_ = Instant();
    hasForeignRuns_ = false;
    acknowledgedSequence_ = 0;
    endpointClockMs_ = 0;
    // With a higher token, the endpoint refuses delayed calls that were sent to an earlier incarnation.
    fencingToken_ = std::max(fencingToken_ + 1, clockMs);
}

void RepeatableJobAgent::updateEndpointClock(std::uint64_t clockMs, Instant now)
{
    if (clockMs > endpointClockMs_) {
        endpointClockMs_ = clockMs;
        endpointClockReadAt_ = now;
    }
}

void RepeatableJobAgent::poll(Instant now)
{
    if (!notice_.has_value() || notice_->terminated) {
        return;
    }
    pollPending_ = true;
    Millis wait = shortPollsLeft_ > 0 ? SHORT_POLL_WAIT : POLL_WAIT;
    if (!responsive_) {
        wait = Millis(0);
    } else if (hasForeignRuns_) {
        wait = FOREIGN_POLL_WAIT;
    }
    shortPollsLeft_ = std::max(0, shortPollsLeft_ - 1);
    // Without a started run of this process, runs of an earlier one must not live on by a longer lease.
    EndpointCall call = makeCall(responsive_ && runs_.size() > queue_.size(), now);
    call.timeout = wait + POLL_TIMEOUT;
    const std::uint64_t generation = generation_;
    endpoint_.poll(call, acknowledgedSequence_, wait, [this, generation, now](const EndpointPollResult &result) {
        now_ = result.answer.at;
        if (generation == generation_) {
            pollPending_ = false;
            onPollResult(result, now);
        }
    });
}

void RepeatableJobAgent::pollImmediately(Instant now)
{
    if (immediatePollPending_ || !notice_.has_value() || notice_->terminated) {
        return;
    }
    immediatePollPending_ = true;
    EndpointCall call = makeCall(false, now);
    call.timeout = POLL_TIMEOUT;
    const std::uint64_t generation = generation_;
    endpoint_.poll(call, acknowledgedSequence_, Millis(0), [this, generation, now](const EndpointPollResult &result) {
        now_ = result.answer.at;
        if (generation != generation_) {
            return;
        }
        immediatePollPending_ = false;
        if (result.answer.status == EndpointCallStatus::Accepted) {
            applyPollResult(result, now, now_);
            startQueued(now_);
            reportLoad(now_);
        }
    });
}

void RepeatableJobAgent::onPollResult(const EndpointPollResult &result, Instant sentAt)
{
    const Instant now = now_;
    switch (result.answer.status) {
    case EndpointCallStatus::Accepted:
        missedPolls_ = 0;
        if (!responsive_) {
            responsive_ = true;
            log_.info(fmt::format("event=endpoint_answers endpoint={} present={}", notice_->id, result.active.size()));
            markDirty();
        }
        applyPollResult(result, sentAt, now);
        nextPollAt_ = now;
        break;
    case EndpointCallStatus::Fenced:
        fencingToken_ = std::max(fencingToken_ + 1, result.answer.clockMs);
        log_.warn(fmt::format("event=fenced endpoint={} new_token={}", notice_->id, fencingToken_));
        nextPollAt_ = now;
        break;
    case EndpointCallStatus::ConnectionRefused:
    case EndpointCallStatus::OtherIncarnation:
        finishAllAfterEnd(now);
        nextPollAt_ = now + POLL_RETRY_PAUSE * 4;
        break;
    default:
        onPollFailure(now);
        break;
    }
    startQueued(now);
    if (!pollPending_ && now >= nextPollAt_) {
        poll(now);
    }
    reportLoad(now);
}

void RepeatableJobAgent::onPollFailure(Instant now)
{
    ++missedPolls_;
    shortPollsLeft_ = SHORT_POLL_COUNT;
    counters_.add("agent_looks_unanswered");
    nextPollAt_ = now;
    if (missedPolls_ < MISSED_POLLS_LIMIT) {
        return; // A single lost answer does no harm: the next poll extends the lease in time.
    }
    if (responsive_) {
        responsive_ = false;
        log_.warn(fmt::format("event=endpoint_silent endpoint={} held={} looks_missed={}", notice_->id, runs_.size(), missedPolls_));
        markDirty();
    }
    if (now > leaseExpiry_ + settings_.maxStopTime + CLOCK_TOLERANCE) {
        finishAllAsLost(Reason::LeaseLapsed, now);
    }
    nextPollAt_ = now + POLL_RETRY_PAUSE;
}

void RepeatableJobAgent::applyPollResult(const EndpointPollResult &result, Instant sentAt, Instant now)
{
    if (result.startUnixMs != 0 && result.startUnixMs < notice_->startUnixMs) {
        counters_.add("agent_views_late");
        return; // The list is from an earlier incarnation.
    }
    if (result.startUnixMs > notice_->startUnixMs) {
        log_.warn(fmt::format("event=endpoint_reborn endpoint={} born={} held={}", notice_->id, result.startUnixMs, runs_.size()));
        earlierDrained_ = notice_->draining;
        notice_->startUnixMs = result.startUnixMs;
        notice_->sequence = 0;
        beginIncarnation(result.startUnixMs, result.answer.clockMs);
    }
    updateEndpointClock(result.answer.clockMs, now);
    processFinishedRuns(result, now);
    reconcileActiveRuns(result, sentAt, now);
}

void RepeatableJobAgent::stopStalled(Instant now)
{
    std::vector<RunKey> stalled;
    for (const auto &[key, run] : runs_) {
        const Duration limit = run.expected * STALL_PERCENT / 100 + STALL_MARGIN;
        if (run.state == RunState::Running && run.progress < FULL_PROGRESS && run.listedAt - run.progressAt > limit) {
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

void RepeatableJobAgent::processFinishedRuns(const EndpointPollResult &result, Instant now)
{
    for (const FinishedRun &finished : result.finished) {
        if (finished.sequence <= acknowledgedSequence_) {
            continue;
        }
        acknowledgedSequence_ = finished.sequence;
        const auto found = runsByName_.find(finished.name);
        if (found == runsByName_.end()) {
            counters_.add("agent_ends_unknown");
            continue;
        }
        onFinishedRun(RunKey(found->second), finished, now);
    }
}

void RepeatableJobAgent::onFinishedRun(const RunKey &key, const FinishedRun &finished, Instant now)
{
    Run &run = runs_.at(key);
    run.startedAt = std::min(run.startedAt, now);
    switch (finished.kind) {
    case FinishKind::Done:
        // The time lost to a cold start is left out, or the endpoint would count as slow when it is warm.
        health_.onCompletion(run.startedAt < coldUntil_ ? scaled(run.expected, settings_.coldExcess) : run.expected, now - run.startedAt);
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

void RepeatableJobAgent::reconcileActiveRuns(const EndpointPollResult &result, Instant sentAt, Instant now)
{
    absl::btree_set<RunName> present;
    hasForeignRuns_ = false;
    for (const ActiveRun &item : result.active) {
        present.insert(item.name);
        const auto known = runsByName_.find(item.name);
        if (known == runsByName_.end()) {
            hasForeignRuns_ = true;
            stopUnknownRun(item.name, now);
            continue;
        }
        Run &run = runs_.at(known->second);
        run.startedAt = std::min(run.startedAt, now);
        run.listedAt = now;
        run.incarnation = endpointIncarnation_;
        if (item.progress != run.progress || run.progressAt == Instant()) {
            run.progress = item.progress;
            run.progressAt = now;
        }
        if (run.state == RunState::Starting) {
            run.state = RunState::Running;
        }
    }
    std::vector<RunKey> missing;
    std::vector<RunKey> vanished;
    for (const auto &[key, run] : runs_) {
        if (present.contains(run.name)) {
            continue;
        }
        const bool wasRunning = run.state == RunState::Running && run.startedAt < sentAt;
        const bool wasStopped = run.state == RunState::Stopping && run.stopAcceptedAt != NEVER && run.stopAcceptedAt < sentAt;
        const bool neverArrived = run.state == RunState::Stopping && run.startExpiry + CLOCK_TOLERANCE < sentAt;
        if (wasRunning || wasStopped || neverArrived) {
            missing.push_back(key);
        }
        if (wasRunning && run.incarnation != endpointIncarnation_) {
            vanished.push_back(key);
        }
    }
    if (!earlierDrained_) {
        reportCrash(vanished);
    }
    for (const RunKey &key : missing) {
        const Run &run = runs_.at(key);
        const bool ran = run.startedAt != NEVER;
        const bool crashed = !earlierDrained_ && run.incarnation != endpointIncarnation_;
        const Reason reason = crashed ? Reason::EndpointCrashed : Reason::EndpointRestarted;
        finish(key, ran ? repeat::RUN_LOST : repeat::RUN_NOT_STARTED, run.reason == Reason::None ? reason : run.reason, now);
    }
}

void RepeatableJobAgent::reportCrash(std::span<const RunKey> lost)
{
    Instant newestStart = Instant::min();
    for (const RunKey &key : lost) {
        const Run &run = runs_.at(key);
        if (run.startedAt != NEVER) {
            newestStart = std::max(newestStart, run.startSentAt);
        }
    }
    repeat::CrashNotice notice;
    std::size_t suspects = 0;
    for (const RunKey &key : lost) {
        Run &run = runs_.at(key);
        // A start without an answer may not have been carried out before the crash.
        run.isCrashSuspect = run.startedAt != NEVER && run.startSentAt + SUSPECT_WINDOW >= newestStart;
        suspects += run.isCrashSuspect ? 1 : 0;
        repeat::TaskCrash *crash = notice.add_crashes();
        crash->set_submission(run.name.submission);
        crash->set_group(run.name.group);
        crash->set_index(run.name.index);
        crash->set_attempt(run.name.attempt);
        crash->set_agent(toWire(settings_.incarnation));
        crash->set_suspect(run.isCrashSuspect);
    }
    if (notice.crashes().empty()) {
        return;
    }
    counters_.add("agent_endpoint_crashes");
    log_.warn(fmt::format("event=endpoint_crashed endpoint={} runs={} suspects={}", notice_->id, notice.crashes_size(), suspects));
    std::size_t told = 0;
    for (const auto &[entry, link] : entries_) {
        if (!link.up) {
            continue;
        }
        repeat::Message message;
        *message.mutable_crash_notice() = notice;
        message.mutable_crash_notice()->set_forward(told++ < CRASH_FORWARDERS);
        links_.sendTo(entry, std::move(message));
    }
}

void RepeatableJobAgent::finishAllAfterEnd(Instant now)
{
    if (notice_.has_value() && (notice_->draining || notice_->terminated)) {
        finishAllAsLost(Reason::EndpointRestarted, now);
        return;
    }
    std::vector<RunKey> lost;
    for (const auto &[key, run] : runs_) {
        // A run whose entry is gone counts as well, as long as its stop has not been accepted.
        if (run.startSentAt != NEVER && run.stopAcceptedAt == NEVER) {
            lost.push_back(key);
        }
    }
    reportCrash(lost);
    finishAllAsLost(Reason::EndpointCrashed, now);
}

void RepeatableJobAgent::finishAllAsLost(Reason reason, Instant now)
{
    ++generation_;
    pollPending_ = false;
    immediatePollPending_ = false;
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
