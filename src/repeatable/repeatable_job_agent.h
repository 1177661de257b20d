/** @file repeatable_job_agent.h Agent state machine for repeatable jobs: starts, leases and stops of runs. */

#pragma once

#include "core/counters.h"
#include "core/histograms.h"
#include "repeatable/cancelled_jobs.h"
#include "repeatable/endpoint_api.h"
#include "repeatable/endpoint_health.h"
#include "repeatable/event_log.h"
#include "repeatable/fencing_token.h"
#include "repeatable/notice_order.h"
#include "repeatable/repeatable_job_output.h"
#include "repeatable/retry_pause.h"
#include "repeatable/zone_evacuation.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <deque>
#include <optional>
#include <span>

namespace medlarmill
{

/** Settings of a RepeatableJobAgent. */
struct RepeatableJobAgentSettings
{
    std::string name; ///< Name of the agent.
    std::string zone; ///< Availability zone.
    Incarnation incarnation = INVALID_INCARNATION; ///< Incarnation of the agent process.
    Duration lease = Millis(500); ///< Lease of all runs at the endpoint.
    Duration entrySilence = Millis(390); ///< The runs of an entry are stopped when the newest stamp that it quoted is older than this.
    Duration maxStopTime = Millis(50); ///< Longest time that the endpoint takes to stop a run.
    double coldExcess = 1; ///< Ratio of run time at an endpoint that is still cold to run time at a warm one.
};

/**
 * State machine of one agent. A run continues at the endpoint only while the agent extends the lease and the entry that ordered the run
 * quotes recent stamps of the agent. If either stops, the run is over within `entrySilence` plus the lease plus `maxStopTime`.
 */
class RepeatableJobAgent
{
public:
    /** @param settings the settings. @param links sends to entries. @param endpoint calls the endpoint. @param log receives events. The
     * references must outlive the agent. */
    RepeatableJobAgent(RepeatableJobAgentSettings settings, LinkOutput &links, EndpointApi &endpoint, EventLog &log);

    /** A link to an entry is up. @param entry the entry. @param now current time. */
    void onEntryUp(Incarnation entry, Instant now);

    /** A link is down. @param entry the entry. @param processGone whether its process has certainly ended. @param now current time. */
    void onEntryDown(Incarnation entry, bool processGone, Instant now);

    /** A message arrived. @param entry the sender. @param message the message. @param now current time. */
    void onEntryMessage(Incarnation entry, const repeat::Message &message, Instant now);

    /** The endpoint sent an announcement. @param notice the announcement. @param now current time. @return whether it was accepted. */
    bool onNotice(const EndpointNotice &notice, Instant now);

    /** Handles due timeouts, retries, polls and load reports; to be called periodically. @param now current time. */
    void tick(Instant now);

    /** Tells an entry to send no further orders here, or takes that back; accepted runs continue. @param entry the entry. @param released
     * whether the link is to be given up. @param now current time. */
    void setEntryReleased(Incarnation entry, bool released, Instant now);

    /** @param entry an entry. @param now current time. @return whether it has been released for long enough that no order is on its way,
     * and none of its runs is left. */
    bool isEntryIdle(Incarnation entry, Instant now) const;

    /** Refuses orders from now on; accepted runs continue. @param now current time. */
    void startDraining(Instant now);

    /** @return the evacuated availability zones. */
    const ZoneEvacuation &zones() const
    {
        return zones_;
    }

    /** @return whether the availability zone of this agent is evacuated: nothing is started, and what runs goes on. */
    bool isEvacuated() const
    {
        return zones_.isEvacuated(settings_.zone);
    }

    /** @return number of runs that are not over. */
    std::size_t unfinishedRuns() const
    {
        return runs_.size();
    }

    /** @return the cancelled jobs that are remembered. */
    const CancelledJobs &cancelledJobs() const
    {
        return cancelled_;
    }

    /** @return event counters. */
    const Counters &counters() const
    {
        return counters_;
    }

    /** @return histograms of the times until the start and of run times. */
    const Histograms &histograms() const
    {
        return histograms_;
    }

    /** @return resources that are neither in use nor needed by queued runs. */
    Resources freeResources() const;

    /** @return the newest announcement of the endpoint, if any. */
    const std::optional<EndpointNotice> &endpoint() const
    {
        return notice_;
    }

private:
    enum class RunState : std::uint8_t {
        Queued, ///< Waits for free resources; no start was sent.
        Starting, ///< A start was sent and has not been answered.
        Running, ///< The endpoint has accepted it.
        Stopping, ///< To be stopped; not yet known to have ended.
    };

    using RunKey = std::pair<Incarnation, OrderId>; ///< Entry and its order id.

    struct Run
    {
        RunName name; ///< Task and attempt.
        std::string spec; ///< Input.
        Resources demand; ///< Required resources.
        RunState state = RunState::Queued;
        Instant rank; ///< Sort key in the queue; smaller values start first.
        Instant deadline; ///< When the run is stopped at the latest.
        Duration expected{0}; ///< Expected run time.
        Instant arrivedAt; ///< When the order arrived.
        Instant startSentAt = NEVER; ///< When the first start call was sent.
        std::uint64_t incarnation
            = 0; ///< Incarnation of the endpoint that it was sent to, or that listed it last; see endpointIncarnation_.
        bool isProbation = false; ///< An endpoint crashed soon after it started this task: nothing else is started for a moment.
        bool isCrashSuspect = false; ///< The endpoint crashed soon after it was started.
        Instant startedAt = NEVER; ///< When the endpoint accepted or first listed the run.
        std::uint32_t progress = 0; ///< Percentage of the work done, as last listed.
        Instant progressAt; ///< When the progress last changed.
        Instant listedAt; ///< When the run was last listed as active.
        std::size_t startsSent = 0; ///< Number of start calls sent.
        Instant stopAcceptedAt = NEVER; ///< When the endpoint accepted the stop.
        Instant stopRetryAt; ///< When to send the stop again.
        Instant startExpiry; ///< Lease expiry in the last start call; the endpoint refuses a start that arrives later.
        Reason reason = Reason::None; ///< Why it is stopped.
        bool stopRequested = false; ///< To be stopped as soon as the start is answered.
        bool stopInFlight = false; ///< A stop call has not been answered.
    };

    struct EntryLink
    {
        bool up = false; ///< Whether the link is up.
        Instant newestStampAt; ///< When the newest stamp that the entry quoted was issued.
        OrderId lastOrder = INVALID_ORDER_ID; ///< Highest order id received.
        Instant reportedAt; ///< When the last load report was sent.
        Duration reportInterval{0}; ///< Minimum time between load reports, as requested by the entry.
        Instant releasedAt = NEVER; ///< Since when the entry has been told to send no further orders.
        bool dirty = true; ///< The load has changed since the last report.
        bool urgent = false; ///< Report the load at once: a run of this entry ended or an order was refused.
    };

    struct SentReport
    {
        RunKey key; ///< The run.
        repeat::RunReport report; ///< The final report.
        Instant at; ///< When it was sent.
    };

    void onJobCancel(Incarnation entry, const repeat::JobCancel &message, Instant now);
    void onOrder(Incarnation entry, const repeat::RunOrder &order, Instant now);
    Reason refusalReason(Incarnation entry, const repeat::RunOrder &order, Instant now) const;
    void startQueued(Instant now);
    void start(const RunKey &key, Run &run, Instant now);
    void onStartAnswer(const RunKey &key, const EndpointCall &call, const EndpointAnswer &answer);
    void finishRefused(const RunKey &key, Run &run, Reason reason);
    void stop(const RunKey &key, Run &run, Reason reason, Instant now);
    void sendStop(const RunKey &key, Run &run, Instant now);
    void handBackQueued(Reason reason);
    void onZoneState(const repeat::ZoneState &state, Instant now);
    bool isEntrySilent(Incarnation entry, Instant now) const;
    bool isEndpointDescribed() const;
    bool isLeaving() const;
    bool isPolled() const;
    void stopUnknownRun(const RunName &name, Instant now);
    void poll(Instant now);
    void pollImmediately(Instant now);
    void onPollResult(const EndpointCall &call, const EndpointPollResult &result, Instant sentAt, std::uint64_t incarnation);
    void onPollFailure(Instant now);
    void onFenced(std::uint64_t refusedToken, const EndpointAnswer &answer);
    void onConnectionRefused();
    void onOtherProcess(const EndpointCall &call);
    void onDeregistration(const EndpointNotice &notice, Instant now);
    void onNewProcess(const EndpointNotice &notice, Instant now);
    void adoptProcess(const EndpointNotice &notice, Instant now);
    void adoptPendingNotice(Instant now);
    void finishAfterLeaseExpiry(Instant now);
    void applyPollResult(const EndpointPollResult &result, Instant sentAt, std::uint64_t incarnation, Instant now);
    void stopStalled(Instant now);
    void processFinishedRuns(const EndpointPollResult &result, Instant now);
    void reconcileActiveRuns(const EndpointPollResult &result, Instant sentAt, Instant now);
    void onFinishedRun(const RunKey &key, const FinishedRun &finished, Instant now);
    void finish(const RunKey &key, repeat::RunOutcome outcome, Reason reason, Instant now, std::uint32_t attemptFloor = 0);
    void finishAllAsLost(Reason reason, Instant now);
    void finishAllAfterEnd(Instant now);
    void reportCrash(std::span<const RunKey> lost);
    void stopExpiredRuns(Instant now);
    void reportLoad(Instant now);
    void markDirty();
    void beginIncarnation(std::uint64_t startUnixMs, std::uint64_t clockMs);
    void updateEndpointClock(std::uint64_t clockMs, Instant now);
    bool isAccepting(Instant now) const;
    EndpointCall makeCall(bool extendLease, Instant now);
    static std::uint64_t stampOf(Instant now);

    RepeatableJobAgentSettings settings_;
    LinkOutput &links_;
    EndpointApi &endpoint_;
    EventLog &log_;
    absl::btree_map<Incarnation, EntryLink> entries_;
    absl::btree_map<RunKey, Run> runs_;
    absl::btree_map<RunName, RunKey> runsByName_;
    absl::btree_set<std::pair<Instant, RunKey>> queue_; ///< Queued runs, ordered by rank.
    std::deque<SentReport> recentReports_; ///< Final reports of recent runs; sent again when a link is re-established.
    Instant reportsDroppedUntil_; ///< Reports up to this time may be missing in recentReports_, because it was full.
    Resources used_; ///< Resources of all runs that may exist at the endpoint.
    Resources queuedDemand_; ///< Resources that queued runs will need.
    std::optional<EndpointNotice> notice_; ///< Newest announcement of the endpoint.
    std::uint64_t describedStartUnixMs_ = 0; ///< Start time of the process whose labels and capacity `notice_` holds.
    std::optional<EndpointNotice> pendingNotice_; ///< Of another id or address, adopted when the runs of the former process have ended.
    NoticeOrder noticeOrder_;
    std::string confirmedAddress_; ///< Address at which the endpoint of the newest announcement has answered a poll.
    bool isEndpointDoubtful_ = false; ///< Its process has not answered since some time, or another one answers at its address.
    bool connectionsRefused_ = false; ///< A connection was refused since the last accepted poll.
    std::uint64_t generation_ = 0; ///< Incremented when all runs are lost; answers to earlier calls are then ignored.
    std::uint64_t endpointIncarnation_ = 0; ///< Counts incarnations of the endpoint; clocks in answers to earlier calls are ignored.
    FencingToken fencingToken_;
    std::uint64_t endpointClockMs_ = 0; ///< Endpoint's clock at endpointClockReadAt_.
    Instant endpointClockReadAt_;
    std::uint64_t acknowledgedSequence_ = 0; ///< Highest sequence number of a finished run that has been processed.
    bool pollPending_ = false; ///< The regular poll is in flight.
    bool immediatePollPending_ = false; ///< A poll that returns at once is in flight beside the regular one.
    int missedPolls_ = 0; ///< Polls in a row without an answer; an accepted start resets the count.
    int shortPollsLeft_ = 0; ///< Number of further polls that use the short wait.
    bool responsive_ = false; ///< The endpoint answers polls.
    Instant nextPollAt_;
    RetryPause pollPause_{Millis(10), Millis(200)}; ///< After polls that were refused or not answered.
    Instant leaseExpiry_; ///< No run can exist after this time unless the lease is extended again.
    Instant probationUntil_; ///< No other run is started before, so that a crash tells its cause.
    Instant startsBlockedUntil_; ///< No start is sent before this time, because the endpoint refused one for lack of resources.
    EndpointHealth health_;
    CancelledJobs cancelled_; ///< Jobs of which no task is started.
    bool hasForeignRuns_ = false; ///< The endpoint still has runs of an earlier agent process, which are being stopped and take room.
    bool earlierDrained_ = false; ///< The earlier incarnation of the endpoint was draining, so its end was planned.
    bool draining_ = false;
    ZoneEvacuation zones_;
    Instant coldUntil_; ///< Until then the endpoint is slow, because it has just started.
    Instant now_; ///< Time of the event being handled; also set by callbacks of the endpoint.
    Counters counters_;
    Histograms histograms_;
};

}
