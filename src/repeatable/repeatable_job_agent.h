/** @file repeatable_job_agent.h Decisions of the agent about repeatable jobs: what starts at the endpoint, under which lease, and what is
 * stopped.
 */

#pragma once

#include "core/counters.h"
#include "core/histograms.h"
#include "repeatable/endpoint_api.h"
#include "repeatable/endpoint_health.h"
#include "repeatable/event_log.h"
#include "repeatable/repeatable_job_output.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <deque>
#include <optional>

namespace medlarmill
{

/** Settings of a RepeatableJobAgent. */
struct RepeatableJobAgentSettings
{
    std::string name; ///< Name of the agent.
    std::string zone; ///< Availability zone.
    Incarnation incarnation = INVALID_INCARNATION; ///< This life.
    Duration lease = Millis(500); ///< Lease of everything that runs at the endpoint.
    Duration entrySilence = Millis(390); ///< Runs of an entry that has not proved its life for so long are stopped.
    Duration maxStopTime = Millis(50); ///< Longest time that a stop takes at the endpoint.
};

/**
 * State machine of one agent. A run exists at the endpoint only while the agent extends the lease and the entry that ordered it proves its
 * life by quoting a recent stamp; so it is over within `entrySilence`, the lease and `maxStopTime` after either has gone.
 */
class RepeatableJobAgent
{
public:
    /** @param settings the settings. @param links sends to entries. @param endpoint calls the endpoint. @param log receives decisions. The
     * three must outlive the agent. */
    RepeatableJobAgent(RepeatableJobAgentSettings settings, LinkOutput &links, EndpointApi &endpoint, EventLog &log);

    /** A link to an entry is up. @param entry the entry. @param now the present. */
    void onEntryUp(Incarnation entry, Instant now);

    /** A link is down. @param entry the entry. @param processGone whether the entry's process has certainly ended. @param now the present.
     */
    void onEntryDown(Incarnation entry, bool processGone, Instant now);

    /** A message arrived. @param entry the sender. @param message the message. @param now the present. */
    void onEntryMessage(Incarnation entry, const repeat::Message &message, Instant now);

    /** The endpoint said something of itself. @param notice what. @param now the present. @return whether it was taken in. */
    bool onNotice(const EndpointNotice &notice, Instant now);

    /** Time passed. @param now the present. */
    void tick(Instant now);

    /** Takes no further work. @param now the present. */
    void startDraining(Instant now);

    /** @return runs that are not over. */
    std::size_t unfinishedRuns() const
    {
        return runs_.size();
    }

    /** @return event counters. */
    const Counters &counters() const
    {
        return counters_;
    }

    /** @return distributions of waiting, starting and running. */
    const Histograms &histograms() const
    {
        return histograms_;
    }

    /** @return room that is not taken. */
    Resources freeResources() const;

    /** @return the endpoint, if any is known. */
    const std::optional<EndpointNotice> &endpoint() const
    {
        return notice_;
    }

private:
    enum class RunState : std::uint8_t {
        Queued, ///< Waits for room; the endpoint knows nothing of it.
        Starting, ///< The start is under way.
        Running, ///< The endpoint has accepted it.
        Stopping, ///< A stop is under way or was accepted; its end is not certain yet.
    };

    using RunKey = std::pair<Incarnation, OrderId>; ///< Entry and its order.

    struct Run
    {
        RunName name; ///< Task and attempt.
        std::string spec; ///< Input.
        Resources demand; ///< Room.
        RunState state = RunState::Queued; ///< Where it stands.
        Instant rank; ///< Place in the queue.
        Instant deadline; ///< It is stopped then.
        Duration expected{0}; ///< Expected run time.
        Instant arrivedAt; ///< When the order came.
        Instant startedAt = NEVER; ///< When the endpoint accepted it or listed it first.
        std::uint32_t progress = 0; ///< Percent when last listed.
        Instant progressAt; ///< When that changed last.
        Instant listedAt; ///< When it was listed last.
        std::size_t startsSent = 0; ///< How often its start was sent.
        Instant stopAcceptedAt = NEVER; ///< When the endpoint accepted the stop.
        Instant stopRetryAt; ///< When the stop is sent again.
        Instant startExpiry; ///< After this instant a delayed start is refused by the endpoint.
        Reason reason = Reason::None; ///< Why it is stopped.
        bool stopRequested = false; ///< To be stopped as soon as its start is answered.
        bool stopInFlight = false; ///< A stop call waits for its answer.
    };

    struct EntryLink
    {
        bool up = false; ///< There is a link.
        Instant newestStampAt; ///< Issue of the newest stamp that it quoted.
        OrderId lastOrder = INVALID_ORDER_ID; ///< Highest order received.
        Instant reportedAt; ///< Last load report.
        Duration reportInterval{0}; ///< Least time between load reports that it asked for.
        bool dirty = true; ///< The load has changed since.
        bool urgent = false; ///< A run of this entry ended in this turn.
    };

    struct SentReport
    {
        RunKey key; ///< The run.
        repeat::RunReport report; ///< What was reported.
        Instant at; ///< When.
    };

    void onOrder(Incarnation entry, const repeat::RunOrder &order, Instant now);
    Reason refusalReason(Incarnation entry, const repeat::RunOrder &order, Instant now) const;
    void startQueued(Instant now);
    void start(const RunKey &key, Run &run, Instant now);
    void onStartAnswer(const RunKey &key, const EndpointAnswer &answer);
    void finishRefused(const RunKey &key, Run &run, Reason reason);
    void stop(const RunKey &key, Run &run, Reason reason, Instant now);
    void sendStop(const RunKey &key, Run &run, Instant now);
    void stopUnknownRun(const RunName &name, Instant now);
    void poll(Instant now);
    void pollImmediately(Instant now);
    void onPollResult(const EndpointPollResult &result, Instant sentAt);
    void onPollFailure(Instant now);
    void applyPollResult(const EndpointPollResult &result, Instant sentAt, Instant now);
    void stopStalled(Instant now);
    void processFinishedRuns(const EndpointPollResult &result, Instant now);
    void reconcileActiveRuns(const EndpointPollResult &result, Instant sentAt, Instant now);
    void onFinishedRun(const RunKey &key, const FinishedRun &finished, Instant now);
    void finish(const RunKey &key, repeat::RunOutcome outcome, Reason reason, Instant now, std::uint32_t attemptFloor = 0);
    void finishAllAsLost(Reason reason, Instant now);
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
    absl::btree_set<std::pair<Instant, RunKey>> queue_;
    std::deque<SentReport> recentReports_; ///< Reported of late; repeated when a link comes up again.
    Instant reportsDroppedUntil_; ///< Ends up to here may have been forgotten for want of space.
    Resources used_; ///< Room of all runs that may be at the endpoint.
    Resources queuedDemand_; ///< Room that queued runs will need.
    std::optional<EndpointNotice> notice_;
    std::uint64_t newestStartUnixMs_ = 0;
    std::uint64_t generation_ = 0; ///< Grows when all runs are lost; answers to earlier calls are ignored.
    std::uint64_t endpointIncarnation_
        = 0; ///< Grows with each incarnation of the endpoint; clocks in answers to earlier calls are ignored.
    std::uint64_t fencingToken_ = 0;
    std::uint64_t endpointClockMs_ = 0; ///< Endpoint's clock at endpointClockReadAt_.
    Instant endpointClockReadAt_;
    std::uint64_t acknowledgedSequence_ = 0;
    bool pollPending_ = false;
    bool immediatePollPending_ = false; ///< A look that does not wait is under way beside the other.
    int missedPolls_ = 0; ///< Calls in a row without an answer; starts that are accepted count as answers.
    int shortPollsLeft_ = 0; ///< Next looks that wait for a shorter time.
    bool responsive_ = false; ///< Looks are answered.
    Instant nextPollAt_;
    Instant leaseExpiry_; ///< No run can be alive after this instant unless the lease is extended again.
    Instant startsBlockedUntil_; ///< No start before, since the endpoint had no room.
    EndpointHealth health_;
    bool draining_ = false;
    Instant now_; ///< Present of the event that is handled; callbacks of the endpoint use it.
    Counters counters_;
    Histograms histograms_;
};

}
