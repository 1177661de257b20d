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
constexpr Duration MIN_POLL_INTERVAL = Millis(10); ///< Between polls that list nothing new.
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
        onDeregistration(notice, now);
        return notice_.has_value() && notice_->id == notice.id;
    }
    if (!notice_.has_value()) {
        adoptProcess(notice, now);
        return true;
    }
    const EndpointNotice &current = pendingNotice_.has_value() ? *pendingNotice_ : *notice_;
    const bool answers = pendingNotice_.has_value() || (!isEndpointDoubtful_ && !notice_->terminated);
    // A poll has shown the process already; its first announcement counts whatever its sequence number.
    const bool describesProcess
        = !pendingNotice_.has_value() && !isEndpointDescribed() && notice.id == notice_->id && notice.startUnixMs == notice_->startUnixMs;
    const NoticeKind kind = describesProcess ? NoticeKind::Update : noticeOrder_.judge(current, answers, notice, now);
    if (kind == NoticeKind::Late) {
        counters_.add("agent_notices_late");
        log_.info(fmt::format("event=notice_ignored endpoint={} born={} seq={} reason=late newest_born={} newest_seq={}", notice.id,
                              notice.startUnixMs, notice.sequence, current.startUnixMs, current.sequence));
        return false;
    }
    if (kind == NoticeKind::NewProcess) {
        if (notice.startUnixMs < current.startUnixMs) {
            counters_.add("agent_endpoint_starts_back");
            log_.warn(fmt::format("event=endpoint_start_back endpoint={} born={} former_born={}", notice.id, notice.startUnixMs,
                                  current.startUnixMs));
        }
        onNewProcess(notice, now);
        return true;
    }
    if (pendingNotice_.has_value()) {
        pendingNotice_ = notice;
        return true;
    }
    if (notice.draining != notice_->draining) {
        log_.info(fmt::format("event=endpoint_state endpoint={} draining={} held={}", notice.id, notice.draining, runs_.size()));
    }
    const bool shrunk = isEndpointDescribed() && !notice_->capacity.fitsInto(notice.capacity);
    const std::uint64_t startUnixMs = notice.startUnixMs == 0 ? notice_->startUnixMs : notice.startUnixMs;
    notice_ = notice;
    notice_->startUnixMs = startUnixMs;
    describedStartUnixMs_ = startUnixMs;
    coldUntil_ = now + notice.coldLeft;
    if (notice.draining) {
        handBackQueued(Reason::Leaving);
    } else if (shrunk) {
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

void RepeatableJobAgent::onDeregistration(const EndpointNotice &notice, Instant now)
{
    if (pendingNotice_.has_value() && pendingNotice_->id == notice.id) {
        pendingNotice_.reset();
    }
    if (!notice_.has_value() || notice_->id != notice.id) {
        return;
    }
    if (notice.startUnixMs != 0 && notice_->startUnixMs != 0 && notice.startUnixMs != notice_->startUnixMs) {
        counters_.add("agent_notices_late");
        return;
    }
    // The endpoint may go on for seconds, so the runs that it may have are polled until there is evidence of their end.
    log_.info(fmt::format("event=endpoint_gone endpoint={} held={} queued={}", notice.id, runs_.size(), queue_.size()));
    notice_->terminated = true;
    handBackQueued(Reason::Leaving);
    markDirty();
    reportLoad(now);
}

void RepeatableJobAgent::onNewProcess(const EndpointNotice &notice, Instant now)
{
    const bool replacesFormer = notice.id == notice_->id && notice.address == notice_->address;
    if (replacesFormer || runs_.size() == queue_.size()) {
        adoptProcess(notice, now);
        return;
    }
    // The former process may still have its runs. Without longer leases they end soon; an answer that another process is there tells it at
    // once.
    log_.info(fmt::format("event=endpoint_pending endpoint={} born={} former={} held={}", notice.id, notice.startUnixMs, notice_->id,
                          runs_.size()));
    pendingNotice_ = notice;
    handBackQueued(Reason::EndpointRestarted);
    markDirty();
    pollImmediately(now);
    reportLoad(now);
}

void RepeatableJobAgent::adoptProcess(const EndpointNotice &notice, Instant now)
{
    earlierDrained_ = notice_.has_value() && (notice_->draining || notice_->terminated);
    if (notice_.has_value() && notice_->id == notice.id && notice_->address == notice.address) {
        // Starts in flight may have been carried out by the new process; its next list shows which runs exist.
        log_.warn(fmt::format("event=endpoint_reborn endpoint={} born={} held={}", notice.id, notice.startUnixMs, runs_.size()));
    } else {
        finishAllAsLost(Reason::EndpointRestarted, now);
        confirmedAddress_.clear();
    }
    isEndpointDoubtful_ = false;
    pollPause_.reset();
    beginIncarnation(notice.startUnixMs, notice.clockMs);
    log_.info(fmt::format("event=endpoint_up endpoint={} service={} address={} born={} cpu={} mem_mb={} token={}", notice.id,
                          notice.service, notice.address, notice.startUnixMs, notice.capacity.cpu, notice.capacity.memMb,
                          fencingToken_.value()));
    notice_ = notice;
    describedStartUnixMs_ = notice.startUnixMs;
    coldUntil_ = now + notice.coldLeft;
    // What waits was chosen by the labels and the capacity of the former process.
    handBackQueued(notice.draining ? Reason::Leaving : Reason::EndpointRestarted);
    updateEndpointClock(notice.clockMs, now);
    markDirty();
    nextPollAt_ = now;
    if (!pollPending_) {
        poll(now);
    }
    reportLoad(now);
}

void RepeatableJobAgent::adoptPendingNotice(Instant now)
{
    if (!pendingNotice_.has_value() || runs_.size() > queue_.size()) {
        return;
    }
    const EndpointNotice notice = *pendingNotice_;
    pendingNotice_.reset();
    adoptProcess(notice, now);
}

void RepeatableJobAgent::beginIncarnation(std::uint64_t startUnixMs, std::uint64_t clockMs)
{
    ++endpointIncarnation_;
    health_.reset();
    probationUntil_ = Instant();
    hasForeignRuns_ = false;
    acknowledgedSequence_ = 0;
    endpointClockMs_ = 0;
    fencingToken_.beginProcess(startUnixMs, clockMs);
}

void RepeatableJobAgent::updateEndpointClock(std::uint64_t clockMs, Instant now)
{
    if (clockMs > endpointClockMs_) {
        endpointClockMs_ = clockMs;
        endpointClockReadAt_ = now;
    }
}

bool RepeatableJobAgent::isPolled() const
{
    return notice_.has_value() && ((!notice_->terminated && !pendingNotice_.has_value()) || !runs_.empty());
}

void RepeatableJobAgent::poll(Instant now)
{
    if (!isPolled()) {
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
    EndpointCall call = makeCall(responsive_ && !pendingNotice_.has_value() && runs_.size() > queue_.size(), now);
    call.timeout = wait + POLL_TIMEOUT;
    const std::uint64_t generation = generation_;
    endpoint_.poll(call, acknowledgedSequence_, wait,
                   [this, call, generation, incarnation = endpointIncarnation_, now](const EndpointPollResult &result) {
                       now_ = result.answer.at;
                       if (generation == generation_) {
                           pollPending_ = false;
                           onPollResult(call, result, now, incarnation);
                       }
                   });
}

void RepeatableJobAgent::pollImmediately(Instant now)
{
    if (immediatePollPending_ || !isPolled() || isEndpointDoubtful_) {
        return;
    }
    immediatePollPending_ = true;
    EndpointCall call = makeCall(false, now);
    call.timeout = POLL_TIMEOUT;
    const std::uint64_t generation = generation_;
    endpoint_.poll(call, acknowledgedSequence_, Millis(0),
                   [this, call, generation, incarnation = endpointIncarnation_, now](const EndpointPollResult &result) {
                       now_ = result.answer.at;
                       if (generation != generation_) {
                           return;
                       }
                       immediatePollPending_ = false;
                       if (result.answer.status == EndpointCallStatus::Accepted) {
                           applyPollResult(result, now, incarnation, now_);
                           startQueued(now_);
                           reportLoad(now_);
                       } else if (result.answer.status == EndpointCallStatus::OtherIncarnation) {
                           onOtherProcess(call);
                       }
                   });
}

void RepeatableJobAgent::onPollResult(const EndpointCall &call, const EndpointPollResult &result, Instant sentAt, std::uint64_t incarnation)
{
    const Instant now = now_;
    const std::uint64_t acknowledgedBefore = acknowledgedSequence_;
    switch (result.answer.status) {
    case EndpointCallStatus::Accepted:
        missedPolls_ = 0;
        pollPause_.reset();
        connectionsRefused_ = false;
        isEndpointDoubtful_ = false;
        confirmedAddress_ = call.address;
        if (!responsive_) {
            responsive_ = true;
            log_.info(fmt::format("event=endpoint_answers endpoint={} present={}", notice_->id, result.active.size()));
            markDirty();
        }
        applyPollResult(result, sentAt, incarnation, now);
        // An endpoint that does not wait must not be polled in a loop.
        nextPollAt_ = acknowledgedSequence_ > acknowledgedBefore ? now : std::max(now, sentAt + MIN_POLL_INTERVAL);
        break;
    case EndpointCallStatus::Fenced:
        onFenced(call.fencingToken, result.answer);
        break;
    case EndpointCallStatus::ConnectionRefused:
        onConnectionRefused();
        break;
    case EndpointCallStatus::OtherIncarnation:
        onOtherProcess(call);
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

void RepeatableJobAgent::onFenced(std::uint64_t refusedToken, const EndpointAnswer &answer)
{
    counters_.add("agent_fenced");
    if (!fencingToken_.onRefused(refusedToken, answer.clockMs)) {
        return; // One of several calls with the same token.
    }
    // Nothing is started until a poll with the higher token is accepted and lists what the earlier holder has left.
    responsive_ = false;
    nextPollAt_ = now_ + pollPause_.onFailure();
    log_.warn(fmt::format("event=fenced endpoint={} refused_token={} new_token={} next_poll_ms={}", notice_->id, refusedToken,
                          fencingToken_.value(), toMillis(nextPollAt_ - now_)));
    handBackQueued(Reason::Fenced);
    markDirty();
}

void RepeatableJobAgent::onConnectionRefused()
{
    counters_.add("agent_connections_refused");
    if (responsive_) {
        log_.warn(fmt::format("event=endpoint_refuses_connections endpoint={} address={} held={} lease_left_ms={}", notice_->id,
                              notice_->address, runs_.size(), toMillis(std::max(Duration(0), leaseExpiry_ - now_))));
    }
    responsive_ = false;
    connectionsRefused_ = true;
    isEndpointDoubtful_ = true;
    nextPollAt_ = now_ + pollPause_.onFailure();
    handBackQueued(Reason::EndpointAbsent);
    markDirty();
}

void RepeatableJobAgent::onOtherProcess(const EndpointCall &call)
{
    const bool isEvidence = call.endpointId == notice_->id && call.address == confirmedAddress_;
    log_.warn(fmt::format("event=endpoint_replaced endpoint={} address={} held={} evidence={:d}", call.endpointId, call.address,
                          runs_.size(), isEvidence));
    responsive_ = false;
    isEndpointDoubtful_ = true;
    if (isEvidence) {
        // One process listens at an address, and it answered there under this id before.
        finishAllAfterEnd(now_);
    } else {
        handBackQueued(Reason::EndpointAbsent);
    }
    nextPollAt_ = now_ + pollPause_.onFailure();
    adoptPendingNotice(now_);
    markDirty();
}

void RepeatableJobAgent::onPollFailure(Instant now)
{
    ++missedPolls_;
    shortPollsLeft_ = SHORT_POLL_COUNT;
    counters_.add("agent_looks_unanswered");
    nextPollAt_ = now + pollPause_.onFailure();
    if (missedPolls_ < MISSED_POLLS_LIMIT) {
        return; // A single lost answer does no harm: the next poll extends the lease in time.
    }
    isEndpointDoubtful_ = true;
    if (responsive_) {
        responsive_ = false;
        log_.warn(fmt::format("event=endpoint_silent endpoint={} held={} looks_missed={}", notice_->id, runs_.size(), missedPolls_));
        markDirty();
    }
}

void RepeatableJobAgent::finishAfterLeaseExpiry(Instant now)
{
    if (responsive_ || runs_.empty() || now <= leaseExpiry_ + settings_.maxStopTime + CLOCK_TOLERANCE) {
        return;
    }
    if (connectionsRefused_) {
        finishAllAfterEnd(now);
    } else {
        finishAllAsLost(Reason::LeaseLapsed, now);
    }
}

void RepeatableJobAgent::applyPollResult(const EndpointPollResult &result, Instant sentAt, std::uint64_t incarnation, Instant now)
{
    const bool isOtherProcess = result.startUnixMs != 0 && result.startUnixMs != notice_->startUnixMs;
    // An answer to a call that was made before the newest process was known may come from an earlier one.
    if (incarnation != endpointIncarnation_ && (result.startUnixMs == 0 || result.startUnixMs < notice_->startUnixMs)) {
        counters_.add("agent_views_late");
        return;
    }
    if (isOtherProcess && notice_->startUnixMs == 0) {
        notice_->startUnixMs = result.startUnixMs;
        describedStartUnixMs_ = result.startUnixMs;
    } else if (isOtherProcess) {
        if (result.startUnixMs < notice_->startUnixMs) {
            counters_.add("agent_endpoint_starts_back");
        }
        log_.warn(fmt::format("event=endpoint_reborn endpoint={} born={} former_born={} held={}", notice_->id, result.startUnixMs,
                              notice_->startUnixMs, runs_.size()));
        earlierDrained_ = notice_->draining || notice_->terminated;
        notice_->startUnixMs = result.startUnixMs;
        notice_->sequence = 0;
        beginIncarnation(result.startUnixMs, result.answer.clockMs);
        // Labels and capacity of the new process are unknown until its first announcement.
        handBackQueued(Reason::EndpointRestarted);
        markDirty();
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
        // An unanswered start that was sent to an earlier process may have been carried out there.
        const bool ran = run.startedAt != NEVER || run.incarnation != endpointIncarnation_;
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
