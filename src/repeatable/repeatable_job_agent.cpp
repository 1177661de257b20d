/** @file repeatable_job_agent.cpp Agent state machine for repeatable jobs: orders, starts and stops. */

#include "repeatable/repeatable_job_agent.h"

#include "core/reason_table.h"
#include "repeatable/outcome_func.h"

#include <array>
#include <fmt/format.h>

namespace medlarmill
{

namespace
{

constexpr std::array<Millis, 4> START_TIMEOUTS
    = {Millis(30), Millis(50), Millis(80),
       Millis(80)}; ///< Timeouts of successive sends of one start; the endpoint is local and most answers take 2 ms.
constexpr Duration STOP_TIMEOUT = Millis(80); ///< Timeout of a stop call; a stop that was not accepted is then sent again.
constexpr std::size_t QUEUE_LIMIT = 6; ///< Orders that may wait for free resources; allows for concurrent orders of several entries.
constexpr Duration NO_ROOM_PAUSE = Millis(10); ///< Pause before the next start after the endpoint refused one for lack of resources.
constexpr Duration PROBATION = Millis(100); ///< Time without other starts after the start of a task that may crash the endpoint.
constexpr Duration REPORT_RETENTION = Millis(3'000); ///< How long final reports are kept, to be sent again to an entry that reconnects.
constexpr std::size_t MAX_RECENT_REPORTS = 2'000; ///< Maximum number of final reports kept.
constexpr std::uint32_t ATTEMPT_STEP = 16; ///< Added to an attempt refused as old; the entry's next attempt must be above the sum.
constexpr Duration BUSY_REPORT_INTERVAL = Millis(100); ///< Interval of load reports to an entry with runs at this agent.
constexpr Duration IDLE_REPORT_INTERVAL = Millis(150); ///< Interval of load reports to other entries.
constexpr Duration MIN_REPORT_INTERVAL = Millis(15); ///< Minimum time between load reports about changes; entries may request a longer one.
constexpr Duration RELEASE_TIME = Millis(500); ///< Orders of a released entry arrive within this time, or never on this link.
constexpr std::string_view ALL_KINDS = "all"; ///< Label of all histograms, since orders do not contain the request kind.

std::string formatRunName(const RunName &name)
{
    return fmt::format("id={} group={} index={} attempt={}", name.submission, name.group, name.index, name.attempt);
}

}

RepeatableJobAgent::RepeatableJobAgent(RepeatableJobAgentSettings settings, LinkOutput &links, EndpointApi &endpoint, EventLog &log)
    : settings_(std::move(settings))
    , links_(links)
    , endpoint_(endpoint)
    , log_(log)
{ }

std::uint64_t RepeatableJobAgent::stampOf(Instant now)
{
    return toMillis(now.time_since_epoch());
}

void RepeatableJobAgent::onEntryUp(Incarnation entry, Instant now)
{
    now_ = now;
    EntryLink &link = entries_[entry];
    link.up = true;
    link.dirty = true;
    link.releasedAt = NEVER;
    repeat::Message message;
    repeat::AgentHello *hello = message.mutable_agent_hello();
    hello->set_incarnation(toWire(settings_.incarnation));
    hello->set_name(settings_.name);
    hello->set_zone(settings_.zone);
    hello->set_entry(toWire(entry));
    hello->set_evidence_ms(static_cast<std::uint32_t>(toMillis(std::min(REPORT_RETENTION, now - reportsDroppedUntil_))));
    for (const auto &[key, run] : runs_) {
        if (key.first != entry) {
            continue;
        }
        repeat::RunReport *report = hello->add_runs();
        report->set_order(static_cast<std::uint64_t>(key.second));
        report->set_outcome(repeat::RUN_HELD);
    }
    for (const SentReport &sent : recentReports_) {
        if (sent.key.first == entry) {
            *hello->add_runs() = sent.report;
        }
    }
    links_.sendTo(entry, std::move(message));
    link.reportedAt = now - IDLE_REPORT_INTERVAL;
    reportLoad(now);
}

void RepeatableJobAgent::onEntryDown(Incarnation entry, bool processGone, Instant now)
{
    now_ = now;
    const auto found = entries_.find(entry);
    if (found == entries_.end()) {
        return;
    }
    found->second.up = false;
    if (processGone) {
        found->second.newestStampAt = Instant();
        stopExpiredRuns(now);
    }
}

void RepeatableJobAgent::onEntryMessage(Incarnation entry, const repeat::Message &message, Instant now)
{
    now_ = now;
    const auto found = entries_.find(entry);
    if (found == entries_.end()) {
        return;
    }
    EntryLink &link = found->second;
    const auto recordStamp = [&link](std::uint64_t stamp) {
        link.newestStampAt = std::max(link.newestStampAt, Instant(Millis(stamp)));
    };
    if (message.has_run_order()) {
        recordStamp(message.run_order().stamp());
        onOrder(entry, message.run_order(), now);
    } else if (message.has_run_cancel()) {
        for (const std::uint64_t order : message.run_cancel().orders()) {
            const RunKey key{entry, static_cast<OrderId>(order)};
            const auto run = runs_.find(key);
            if (run == runs_.end()) {
                continue;
            }
            stop(key, run->second, Reason::StoppedByOrder, now);
        }
        startQueued(now);
    } else if (message.has_job_cancel()) {
        onJobCancel(entry, message.job_cancel(), now);
    } else if (message.has_entry_ping()) {
        recordStamp(message.entry_ping().stamp());
        link.reportInterval = Millis(message.entry_ping().report_interval_ms());
    } else if (message.has_zone_state()) {
        onZoneState(message.zone_state(), now);
    }
    reportLoad(now);
}

void RepeatableJobAgent::setEntryReleased(Incarnation entry, bool released, Instant now)
{
    const auto found = entries_.find(entry);
    if (found == entries_.end() || (found->second.releasedAt != NEVER) == released) {
        return;
    }
    found->second.releasedAt = released ? now : NEVER;
    found->second.urgent = true;
    reportLoad(now);
}

bool RepeatableJobAgent::isEntryIdle(Incarnation entry, Instant now) const
{
    const auto found = entries_.find(entry);
    if (found == entries_.end() || found->second.releasedAt == NEVER || now - found->second.releasedAt < RELEASE_TIME) {
        return false;
    }
    const auto firstRun = runs_.lower_bound({entry, OrderId{0}});
    return firstRun == runs_.end() || firstRun->first.first != entry;
}

bool RepeatableJobAgent::isAccepting(Instant now) const
{
    return isEndpointDescribed() && !isLeaving() && !isEvacuated() && responsive_ && !health_.isCircuitOpen(now)
        && runs_.size() < health_.runLimit() && now >= probationUntil_;
}

bool RepeatableJobAgent::isEndpointDescribed() const
{
    return notice_.has_value() && notice_->startUnixMs == describedStartUnixMs_;
}

bool RepeatableJobAgent::isLeaving() const
{
    return draining_ || pendingNotice_.has_value() || (notice_.has_value() && (notice_->draining || notice_->terminated));
}

Resources RepeatableJobAgent::freeResources() const
{
    Resources available = notice_.has_value() ? notice_->capacity : Resources();
    available.subtract(used_);
    available.subtract(queuedDemand_);
    return available;
}

Reason RepeatableJobAgent::refusalReason(Incarnation entry, const repeat::RunOrder &order, Instant now) const
{
    if (cancelled_.contains(order.submission())) {
        return Reason::Cancelled;
    }
    if (Instant(Millis(order.stamp())) + settings_.entrySilence < now) {
        return Reason::StaleLease;
    }
    if (!notice_.has_value() || notice_->terminated) {
        return Reason::EndpointAbsent;
    }
    if (isEvacuated()) {
        return Reason::Evacuated;
    }
    // The entry chose the endpoint by the labels and the capacity of the process that its order names.
    if (!isEndpointDescribed() || (order.endpoint_start_ms() != 0 && order.endpoint_start_ms() != notice_->startUnixMs)) {
        return Reason::EndpointRestarted;
    }
    if (isLeaving()) {
        return Reason::Leaving;
    }
    if (!isAccepting(now)) {
        return Reason::EndpointUnhealthy;
    }
    const auto next = runsByName_.lower_bound({order.submission(), order.group(), order.index(), 0});
    if (next != runsByName_.end() && next->first.submission == order.submission() && next->first.group == order.group()
        && next->first.index == order.index()) {
        return Reason::DuplicateStart;
    }
    const Resources demand{order.cpu(), order.mem(), order.gpu()};
    const bool mayQueue = !order.refuse_when_full() && queue_.size() < QUEUE_LIMIT;
    if (!demand.fitsInto(notice_->capacity) || (!demand.fitsInto(freeResources()) && !mayQueue)) {
        return Reason::NoRoom;
    }
    return runs_.contains({entry, static_cast<OrderId>(order.order())}) ? Reason::DuplicateStart : Reason::None;
}

void RepeatableJobAgent::onOrder(Incarnation entry, const repeat::RunOrder &order, Instant now)
{
    const RunKey key{entry, static_cast<OrderId>(order.order())};
    EntryLink &link = entries_[entry];
    link.lastOrder = std::max(link.lastOrder, key.second);
    const Reason refusal = refusalReason(entry, order, now);
    if (refusal != Reason::None) {
        counters_.add("agent_orders_refused", refusal);
        log_.info(fmt::format("event=order_refused id={} group={} index={} attempt={} entry={:016x} reason={} stamp_age_ms={} free_cpu={}",
                              order.submission(), order.group(), order.index(), order.attempt(), toWire(entry), reasonInfo(refusal).code,
                              stampOf(now) - order.stamp(), freeResources().cpu));
        repeat::Message message;
        repeat::RunReport *report = message.mutable_run_report();
        report->set_order(order.order());
        report->set_outcome(repeat::RUN_NOT_STARTED);
        report->set_reason(static_cast<std::uint32_t>(refusal));
        link.urgent = true;
        link.dirty = true;
        links_.sendTo(entry, std::move(message));
        return;
    }
    Run run;
    run.name = {order.submission(), order.group(), order.index(), order.attempt()};
    run.spec = order.spec();
    run.demand = {order.cpu(), order.mem(), order.gpu()};
    run.isProbation = order.crash_suspect();
    run.rank = now + Millis(order.rank_ms());
    run.deadline = now + Millis(order.time_left_ms());
    run.expected = Millis(order.expected_ms());
    run.arrivedAt = now;
    queuedDemand_.add(run.demand);
    queue_.insert({run.rank, key});
    runsByName_[run.name] = key;
    runs_.emplace(key, std::move(run));
    counters_.add("agent_orders_accepted");
    markDirty();
    startQueued(now);
}

void RepeatableJobAgent::startQueued(Instant now)
{
    if (!isEndpointDescribed() || isLeaving() || !responsive_ || hasForeignRuns_ || isEvacuated() || now < startsBlockedUntil_) {
        return;
    }
    auto next = queue_.begin();
    while (next != queue_.end() && now >= probationUntil_) {
        const RunKey key = next->second;
        Run &run = runs_.at(key);
        Resources available = notice_->capacity;
        available.subtract(used_);
        if (!run.demand.fitsInto(available) || isEntrySilent(key.first, now)) {
            ++next;
            continue;
        }
        next = queue_.erase(next);
        queuedDemand_.subtract(run.demand);
        used_.add(run.demand);
        start(key, run, now);
    }
}

EndpointCall RepeatableJobAgent::makeCall(bool extendLease, Instant now)
{
    EndpointCall call;
    call.address = notice_->address;
    call.endpointId = notice_->id;
    call.fencingToken = fencingToken_.value();
    if (extendLease) {
        call.leaseExpiryMs = endpointClockMs_ + toMillis(now - endpointClockReadAt_) + toMillis(settings_.lease);
        // The endpoint's clock may run up to 2% slow.
        leaseExpiry_ = std::max(leaseExpiry_, now + settings_.lease + settings_.lease / 50);
    }
    return call;
}

void RepeatableJobAgent::start(const RunKey &key, Run &run, Instant now)
{
    run.state = RunState::Starting;
    run.startSentAt = std::min(run.startSentAt, now);
    run.incarnation = endpointIncarnation_;
    if (run.isProbation) {
        probationUntil_ = now + PROBATION;
    }
    EndpointCall call = makeCall(true, now);
    call.expectedStartMs = notice_->startUnixMs;
    call.timeout = START_TIMEOUTS[run.startsSent++];
    run.startExpiry = leaseExpiry_;
    counters_.add("agent_starts");
    const std::uint64_t generation = generation_;
    endpoint_.start(call, run.name, run.spec,
                    [this, key, call, generation, incarnation = endpointIncarnation_](const EndpointAnswer &answer) {
                        now_ = answer.at;
                        if (generation != generation_) {
                            return;
                        }
                        if (incarnation == endpointIncarnation_) {
                            updateEndpointClock(answer.clockMs, now_);
                        }
                        onStartAnswer(key, call, answer);
                    });
}

void RepeatableJobAgent::onStartAnswer(const RunKey &key, const EndpointCall &call, const EndpointAnswer &answer)
{
    const auto found = runs_.find(key);
    if (found == runs_.end()) {
        return;
    }
    Run &run = found->second;
    switch (answer.status) {
    case EndpointCallStatus::Accepted:
        missedPolls_ = 0;
        if (run.state == RunState::Starting) {
            run.state = RunState::Running;
            run.startedAt = std::min(run.startedAt, now_);
            run.progressAt = now_;
            histograms_.add("wait_and_start", ALL_KINDS, now_ - run.arrivedAt);
            log_.info(fmt::format("event=run_started {} entry={:016x} waited_ms={} used_cpu={}", formatRunName(run.name), toWire(key.first),
                                  toMillis(now_ - run.arrivedAt), used_.cpu));
        }
        if (run.stopRequested) {
            stop(key, run, run.reason, now_);
        }
        break;
    case EndpointCallStatus::NoRoom:
        startsBlockedUntil_ = now_ + NO_ROOM_PAUSE;
        finishRefused(key, run, Reason::NoRoom);
        break;
    case EndpointCallStatus::DeadlinePassed:
        finishRefused(key, run, Reason::StaleLease);
        break;
    case EndpointCallStatus::OldAttempt:
        if (run.startsSent > 1) {
            // An earlier send was carried out and the run is over; the endpoint will list it as finished.
            run.state = RunState::Running;
            run.startedAt = std::min(run.startedAt, now_);
            run.progressAt = now_;
            break;
        }
        finish(key, repeat::RUN_NOT_STARTED, Reason::OldAttempt, now_, run.name.attempt + ATTEMPT_STEP);
        break;
    case EndpointCallStatus::Fenced:
        finishRefused(key, run, Reason::Fenced);
        onFenced(call.fencingToken, answer);
        break;
    case EndpointCallStatus::Unhealthy:
        health_.onStartRefused(now_);
        log_.warn(fmt::format("event=endpoint_out endpoint={} reason=refused_as_unhealthy", notice_->id));
        finishRefused(key, run, Reason::EndpointUnhealthy);
        break;
    case EndpointCallStatus::Malformed:
        finish(key, repeat::RUN_FAILED, Reason::Malformed, now_);
        break;
    case EndpointCallStatus::OtherProcess:
        counters_.add("agent_starts_other_process");
        log_.info(
            fmt::format("event=start_other_process {} endpoint={} born={}", formatRunName(run.name), notice_->id, notice_->startUnixMs));
        finishRefused(key, run, Reason::EndpointRestarted);
        pollImmediately(now_);
        break;
    case EndpointCallStatus::OtherIncarnation:
        finishRefused(key, run, Reason::EndpointAbsent);
        onOtherProcess(call);
        break;
    case EndpointCallStatus::ConnectionRefused:
        // The call was not sent. Earlier runs may go on: a fault of the network can refuse connections as well.
        finishRefused(key, run, Reason::EndpointAbsent);
        onConnectionRefused();
        break;
    case EndpointCallStatus::NoAnswer:
        counters_.add("agent_starts_unanswered");
        log_.warn(fmt::format("event=start_unanswered {} state={}", formatRunName(run.name),
                              run.state == RunState::Running ? "seen_running" : "unknown"));
        if (run.state != RunState::Starting) {
            break;
        }
        // Repeating a start is idempotent: the endpoint accepts it again if it was carried out. A newer process may be of another kind.
        if (run.incarnation == endpointIncarnation_ && run.startsSent < START_TIMEOUTS.size() && !run.stopRequested && run.deadline > now_
            && !isLeaving() && !isEvacuated() && !isEntrySilent(key.first, now_)) {
            start(key, run, now_);
        } else {
            stop(key, run, Reason::NoAnswer, now_);
        }
        break;
    }
    startQueued(now_);
    reportLoad(now_);
}

void RepeatableJobAgent::finishRefused(const RunKey &key, Run &run, Reason reason)
{
    if (run.startsSent == 1) {
        finish(key, repeat::RUN_NOT_STARTED, reason, now_);
        return;
    }
    // An earlier send of this start was not answered; it may have been carried out or may still be.
    run.reason = reason;
    stop(key, run, Reason::NoAnswer, now_);
}

void RepeatableJobAgent::stop(const RunKey &key, Run &run, Reason reason, Instant now)
{
    run.reason = run.reason == Reason::None ? reason : run.reason;
    switch (run.state) {
    case RunState::Queued:
        finish(key, repeat::RUN_NOT_STARTED, reason, now);
        return;
    case RunState::Starting:
        // With NoAnswer, the last start call is over; otherwise it is in flight, and the stop is sent after its answer.
        if (reason != Reason::NoAnswer) {
            run.stopRequested = true;
            return;
        }
        break;
    case RunState::Stopping:
        return;
    case RunState::Running:
        break;
    }
    run.state = RunState::Stopping;
    log_.info(fmt::format("event=run_stop {} reason={} ran_ms={}", formatRunName(run.name), reasonInfo(reason).code,
                          run.startedAt == NEVER ? 0 : toMillis(now - run.startedAt)));
    counters_.add("agent_stops", reason);
    sendStop(key, run, now);
}

void RepeatableJobAgent::sendStop(const RunKey &key, Run &run, Instant now)
{
    if (!notice_.has_value() || run.stopInFlight) {
        return;
    }
    run.stopInFlight = true;
    run.stopRetryAt = now + STOP_TIMEOUT;
    EndpointCall call = makeCall(false, now);
    call.timeout = STOP_TIMEOUT;
    const std::uint64_t generation = generation_;
    endpoint_.stop(call, run.name, [this, key, call, generation, incarnation = endpointIncarnation_](const EndpointAnswer &answer) {
        now_ = answer.at;
        const auto found = runs_.find(key);
        if (generation != generation_ || found == runs_.end()) {
            return;
        }
        found->second.stopInFlight = false;
        if (answer.status == EndpointCallStatus::Accepted) {
            if (incarnation == endpointIncarnation_) {
                updateEndpointClock(answer.clockMs, now_);
            }
            found->second.stopAcceptedAt = std::min(found->second.stopAcceptedAt, now_);
            pollImmediately(now_);
        } else if (answer.status == EndpointCallStatus::Fenced) {
            onFenced(call.fencingToken, answer);
        } else if (answer.status == EndpointCallStatus::OtherIncarnation) {
            onOtherProcess(call);
        } else if (answer.status == EndpointCallStatus::ConnectionRefused) {
            onConnectionRefused();
        }
    });
}

void RepeatableJobAgent::stopUnknownRun(const RunName &name, Instant now)
{
    counters_.add("agent_foreign_runs");
    log_.warn(fmt::format("event=foreign_run_stop {} endpoint={}", formatRunName(name), notice_->id));
    EndpointCall call = makeCall(false, now);
    call.timeout = STOP_TIMEOUT;
    endpoint_.stop(call, name, [](const EndpointAnswer &) {});
}

void RepeatableJobAgent::handBackQueued(Reason reason)
{
    std::vector<RunKey> queued;
    for (const auto &[rank, key] : queue_) {
        queued.push_back(key);
    }
    for (const RunKey &key : queued) {
        finish(key, repeat::RUN_NOT_STARTED, reason, now_);
    }
}

void RepeatableJobAgent::finish(const RunKey &key, repeat::RunOutcome outcome, Reason reason, Instant now, std::uint32_t attemptFloor)
{
    const auto found = runs_.find(key);
    const Run &run = found->second;
    repeat::Message message;
    repeat::RunReport *report = message.mutable_run_report();
    report->set_order(static_cast<std::uint64_t>(key.second));
    report->set_outcome(outcome);
    report->set_reason(static_cast<std::uint32_t>(reason));
    report->set_attempt_floor(attemptFloor);
    const Duration ran = run.startedAt == NEVER ? Duration(0) : now - run.startedAt;
    report->set_run_ms(static_cast<std::uint32_t>(toMillis(ran)));
    report->set_crash_suspect(run.isCrashSuspect);
    log_.info(fmt::format("event=run_over {} entry={:016x} outcome={} reason={} ran_ms={} expected_ms={} suspect={:d}",
                          formatRunName(run.name), toWire(key.first), outcomeName(outcome), reasonInfo(reason).code, toMillis(ran),
                          toMillis(run.expected), run.isCrashSuspect));
    counters_.add(outcome == repeat::RUN_DONE ? "agent_runs_done" : "agent_runs_not_done");
    if (run.startedAt != NEVER) {
        histograms_.add("run", ALL_KINDS, ran);
    }
    if (run.isProbation && outcome == repeat::RUN_DONE) {
        probationUntil_ = Instant();
    }
    if (run.state == RunState::Queued) {
        queue_.erase({run.rank, key});
        queuedDemand_.subtract(run.demand);
    } else {
        used_.subtract(run.demand);
    }
    runsByName_.erase(run.name);
    recentReports_.push_back({key, *report, now});
    if (recentReports_.size() > MAX_RECENT_REPORTS) {
        reportsDroppedUntil_ = recentReports_.front().at;
        recentReports_.pop_front();
    }
    runs_.erase(found);
    entries_[key.first].urgent = true;
    markDirty();
    links_.sendTo(key.first, std::move(message));
}

void RepeatableJobAgent::stopExpiredRuns(Instant now)
{
    std::vector<RunKey> orphans;
    for (const auto &[key, run] : runs_) {
        if (run.state == RunState::Stopping) {
            continue;
        }
        if (isEntrySilent(key.first, now) || run.deadline <= now) {
            orphans.push_back(key);
        }
    }
    for (const RunKey &key : orphans) {
        const auto run = runs_.find(key);
        if (run == runs_.end()) {
            continue;
        }
        stop(key, run->second, run->second.deadline <= now ? Reason::TimeUp : Reason::StaleLease, now);
    }
}

void RepeatableJobAgent::markDirty()
{
    for (auto &[incarnation, link] : entries_) {
        link.dirty = true;
    }
}

void RepeatableJobAgent::reportLoad(Instant now)
{
    absl::btree_set<Incarnation> busy;
    for (const auto &[key, run] : runs_) {
        busy.insert(key.first);
    }
    for (auto &[incarnation, link] : entries_) {
        if (!link.up) {
            continue;
        }
        const Duration age = now - link.reportedAt;
        const bool due = age >= (busy.contains(incarnation) ? BUSY_REPORT_INTERVAL : std::max(IDLE_REPORT_INTERVAL, link.reportInterval));
        if (!due && !link.urgent && !(link.dirty && age >= std::max(MIN_REPORT_INTERVAL, link.reportInterval))) {
            continue;
        }
        link.reportedAt = now;
        link.urgent = false;
        link.dirty = false;
        repeat::Message message;
        repeat::LoadReport *report = message.mutable_load_report();
        report->set_stamp(stampOf(now));
        report->set_last_order(static_cast<std::uint64_t>(link.lastOrder));
        if (notice_.has_value()) {
            const Resources available = freeResources();
            report->set_service(notice_->service);
            report->set_accepting(isAccepting(now) && link.releasedAt == NEVER);
            report->set_cpu_free(available.cpu);
            report->set_mem_free(available.memMb);
            report->set_gpu_free(available.gpu);
            report->set_queued(static_cast<std::uint32_t>(queue_.size()));
            report->set_slowdown_percent(static_cast<std::uint32_t>(health_.slowdown() * 100));
            report->set_cold_left_ms(static_cast<std::uint32_t>(toMillis(std::max(Duration(0), coldUntil_ - now))));
        }
        if (isEndpointDescribed()) {
            report->set_endpoint_start_ms(notice_->startUnixMs);
            report->set_cpu_total(notice_->capacity.cpu);
            for (const std::string &label : notice_->labels) {
                report->add_labels(label);
            }
        }
        links_.sendTo(incarnation, std::move(message));
    }
}

void RepeatableJobAgent::startDraining(Instant now)
{
    now_ = now;
    draining_ = true;
    handBackQueued(Reason::Leaving);
    markDirty();
    reportLoad(now);
}

void RepeatableJobAgent::tick(Instant now)
{
    now_ = now;
    stopExpiredRuns(now);
    stopStalled(now);
    finishAfterLeaseExpiry(now);
    adoptPendingNotice(now);
    for (auto &[key, run] : runs_) {
        if (run.state == RunState::Stopping && run.stopAcceptedAt == NEVER && now >= run.stopRetryAt) {
            sendStop(key, run, now);
        }
    }
    cancelled_.forgetOld(now);
    while (!recentReports_.empty() && recentReports_.front().at + REPORT_RETENTION < now) {
        recentReports_.pop_front();
    }
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        const auto firstRun = runs_.lower_bound({entry->first, OrderId{0}});
        const bool hasRuns = firstRun != runs_.end() && firstRun->first.first == entry->first;
        const bool forgotten = !entry->second.up && !hasRuns && entry->second.newestStampAt + REPORT_RETENTION < now;
        entry = forgotten ? entries_.erase(entry) : std::next(entry);
    }
    startQueued(now);
    if (!pollPending_ && now >= nextPollAt_) {
        poll(now);
    }
    reportLoad(now);
}

}
