/** @file entry_core.h Decisions of an entry: homes of submissions, life of jobs, grants, answers. */

#pragma once

#include "config/config_type.h"
#include "core/counters.h"
#include "core/name_map_type.h"
#include "entry_logic/dispatcher.h"
#include "entry_logic/entry_output.h"
#include "entry_logic/estimator.h"
#include "entry_logic/job_table.h"
#include "entry_logic/membership.h"
#include "entry_logic/relay_table.h"

#include <absl/container/btree_map.h>
#include <deque>
#include <string>
#include <string_view>

namespace medlarmill
{

constexpr Duration CREDIT_REQUEST_LIFETIME = Millis(250); ///< A request for credits is void after so long.

/** Settings of the entry's decision code. */
struct EntrySettings
{
    MembershipSettings membership; ///< Identity and time limits.
    std::size_t maxJobs = 200'000; ///< Jobs kept at most, answered ones included.
    std::size_t maxJobBytes = 64U << 20U; ///< Bytes of inputs and results kept at most.
    std::size_t maxRelayedRequests = 50'000; ///< Forwarded requests at most.
    std::size_t maxRecordedAnswers = 200'000; ///< Answers recorded for other homes at most.
    Duration peerHeartbeatInterval = Millis(250); ///< Time between heartbeats to another entry.
    Duration resendInterval = Millis(500); ///< Time between repetitions of an unanswered request to another process.
    Duration answerGracePeriod = Millis(2'000); ///< A forwarded job is given up so long after its deadline.
    Duration tableReadTimeout
        = Millis(3'000); ///< A starting entry waits so long for the table before it takes a configuration of the others.
    Duration witnessTimeout = Millis(1'000); ///< Time to find a second entry that records an answer.
    bool admitByEstimate = true; ///< Refuse jobs whose estimated completion lies past their deadline.
};

/** State machine of one entry. Events go in with the present instant; actions come out through EntryOutput. */
class EntryCore
{
public:
    /** @param settings checked settings. @param output receiver of the actions; must outlive the core. */
    EntryCore(EntrySettings settings, EntryOutput &output);

    /** A caller submits a job. @param caller the caller's handle. @param job the body; an empty id is minted. @param now the present. */
    void submit(CallerToken caller, wire::Job job, Instant now);

    /** A caller asks for an answer. @param caller the caller's handle. @param id the submission. @param now the present. */
    void fetch(CallerToken caller, const SubmissionId &id, Instant now);

    /** A caller cancels a job. @param caller the caller's handle. @param id the submission. @param now the present. */
    void cancel(CallerToken caller, const SubmissionId &id, Instant now);

    /** An agent opened a session; an earlier one of the same incarnation is over. @param hello its hello. @param now the present. */
    void onAgentHello(const wire::AgentHello &hello, Instant now);

    /** The session with an agent broke. @param agent the agent. */
    void onAgentDisconnected(Incarnation agent);

    /** A message of an agent arrived. @param agent the sender. @param message the message. @param now the present. */
    void onAgentMessage(Incarnation agent, const wire::Message &message, Instant now);

    /** A session with another entry opened. @param peer the entry. @param now the present. */
    void onPeerConnected(Incarnation peer, Instant now);

    /** The session with another entry broke. @param peer the entry. */
    void onPeerDisconnected(Incarnation peer);

    /** A message of another entry arrived. @param peer the sender. @param message the message. @param now the present. */
    void onPeerMessage(Incarnation peer, const wire::Message &message, Instant now);

    /** The platform's table was read. @param roster the roster there; version 0 when there is none yet. @param now the present. */
    void onRosterRead(const wire::Roster &roster, Instant now);

    /** The platform's table did not answer a proposal. */
    void onRosterProposalFailed();

    /** The table was asked for the configuration. @param version its version, or invalid when it is not newer than the last read. @param
     * text its document. @param now the present. */
    void onConfigRead(ConfigVersion version, std::string_view text, Instant now);

    /** A configuration was accepted. It comes into force when every member that is heard has it too, so that an entry that starts again
     * during an outage of the store learns at least this version from the others. @param version its version. @param text its document.
     * @param now the present. */
    void onConfig(ConfigVersion version, std::string_view text, Instant now);

    /** Time passed. @param now the present. */
    void tick(Instant now);

    /** Begins a planned stop. */
    void startDraining()
    {
        draining_ = true;
    }

    /** @return whether a planned stop has answered everything and left the roster. */
    bool isStopped() const;

    /** @return why the entry is not ready, empty when it is. */
    std::string notReadyReason() const;

    /** @return membership view. */
    const Membership &membership() const
    {
        return membership_;
    }

    /** @return the configuration in force. */
    const Config &config() const
    {
        return config_;
    }

    /** @return the document of the configuration in force. */
    const std::string &configText() const
    {
        return configText_;
    }

    /** @return dispatcher view. */
    const Dispatcher &dispatcher() const
    {
        return dispatcher_;
    }

    /** @return jobs homed here. */
    const JobTable &jobs() const
    {
        return jobs_;
    }

    /** @return event counters. */
    const Counters &counters() const
    {
        return counters_;
    }

private:
    // Jobs at their home (entry_jobs.cpp).
    void submitAtHome(const wire::Job &body, const Waiter &waiter, Ownership ownership, Instant now);
    void joinExistingJob(Job &job, const wire::Job &body, const Waiter &waiter);
    Job makeJob(const wire::Job &body, const Waiter &waiter, Instant now) const;
    RecoveredState recoveredStateOf(const SubmissionId &id) const;
    static bool conflictsWithRecoveredState(const Job &job, const RecoveredState &recovered);
    void rejectConflict(Job &job);
    void resolveOwnership(Job &job, Instant now);
    void rebuildJob(Job &job, const RecoveredState &recovered, Instant now);
    void admitJob(Job &job, Instant now);
    Reason checkAdmission(const Job &job, Duration *retryAfter) const;
    Duration expectedRunTime(const Job &job) const;
    void enqueueWaitingTasks(Job &job, Instant now);
    void dispatchTasks(std::string_view service, Instant now);
    void sendGrant(const Assignment &assignment, Instant now);
    void requestCredits(const std::string &service, Instant now);
    void passCreditsToPeers(const std::string &service, Instant now);
    void transferCredits(const std::string &service, Incarnation peer, std::uint32_t wanted);
    void onTaskReport(Incarnation agent, const wire::TaskReport &report, Instant now);
    void applyTaskReport(Job &job, Task &task, const wire::TaskReport &report, Instant now);
    void onTaskNotRun(Job &job, Task &task, const wire::TaskReport &report, Instant now);
    void markTasksLost(Incarnation agent, Instant now);
    void failJob(Job &job, Reason reason, std::string detail, Instant now);
    void completeJob(Job &job, Instant now);
    void stopTasks(Job &job, bool stopRunning);
    void finalizeAnswer(Job &job, wire::Answer answer, Instant now);
    void deliverAnswer(Job &job, Instant now);
    void answerUnknown(Job &job, Reason reason, Instant now);
    void cancelJob(Job &job, Instant now);
    wire::Answer currentAnswer(const Job &job) const;
    Job *rebuildCompletedJob(const SubmissionId &id, Instant now);

    // Requests of callers and other entries (entry_relay.cpp).
    void routeSubmission(const wire::Job &job, const Waiter &waiter, std::uint32_t hops, Instant now);
    void relayRequest(RequestKind kind, const wire::Job &job, const Waiter &waiter, std::uint32_t hops, Instant now);
    void sendRelayedRequest(const RequestKey &key, RelayedRequest &relay, Instant now);
    void fetchOrCancel(RequestKind kind, const SubmissionId &id, const Waiter &waiter, std::uint32_t hops, Instant now);
    wire::Answer answerFromRecoveredState(RequestKind kind, const SubmissionId &id, Ownership ownership, Instant now);
    void onJobAnswer(Incarnation peer, const wire::JobAnswer &message, Instant now);
    void sendAnswer(const Waiter &waiter, const wire::Answer &answer, bool isFetch);
    void answerRelayedRequest(const RelayedRequest &relay, const wire::Answer &answer);
    void refuseBeforeRouting(CallerToken caller, const wire::Job &job, Reason reason, std::string detail);
    Reason checkAgainstConfig(wire::Job &job) const;
    void tickRelays(Instant now);

    // Other entries and agents (entry_peers.cpp).
    void onHandoverRequest(Incarnation peer, const wire::HandoverRequest &request, Instant now);
    void onWitnessedRequest(Incarnation peer, const wire::WitnessedRequest &request, Instant now);
    void onWitness(Incarnation peer, const wire::Witness &message, Instant now);
    void onWitnessAck(const wire::WitnessAck &message, Instant now);
    void onPeerHeartbeat(Incarnation peer, const wire::PeerHeartbeat &heartbeat, Instant now);
    void onCreditRequest(Incarnation peer, const wire::CreditRequest &request, Instant now);
    void onHeartbeat(Incarnation agent, const wire::Heartbeat &heartbeat, Instant now);
    void onGoodbye(Incarnation agent, const wire::Goodbye &goodbye, Instant now);
    void queryOutstandingTasks(Incarnation agent);
    void sendAdmit(Incarnation agent);
    void sendFenceRequests(Incarnation agent);
    void sendHeartbeats(Instant now);
    void sendDueRequests(Instant now);
    void adoptRoster(const wire::Roster &roster, Instant now);
    void requestWitness(Job &job, Instant now);
    void tickJobs(Instant now);
    void tickRoster(Instant now);
    void activateConfig(Instant now);
    wire::ServiceUpdate serviceUpdate(std::string_view service) const;

    struct OutstandingTask
    {
        JobSequence job{}; ///< The job; it may be answered already.
        std::string service; ///< Its service.
    };

    /** Tasks that wait at another entry without credits. */
    struct PeerDemand
    {
        std::deque<WaitingJobSummary> jobs; ///< Its most urgent jobs, by rank; served from the front.
        Instant headRank = NEVER; ///< Rank of its most urgent job when last heard; NEVER when none waited.
        Instant validUntil; ///< The demand is void afterwards.
    };

    /** The last request for credits. */
    struct CreditRequestState
    {
        JobSequence newestJob{}; ///< Newest job when it was made.
        Instant validUntil; ///< It counts until then.
    };

    EntrySettings settings_;
    EntryOutput &output_;
    Membership membership_;
    Dispatcher dispatcher_;
    RunTimeEstimator estimator_;
    JobTable jobs_;
    RelayTable relays_;
    Config config_;
    std::string configText_;
    ConfigVersion acceptedConfigVersion_
        = INVALID_CONFIG_VERSION; ///< Newest accepted configuration; in force once all members heard have it.
    std::string acceptedConfigText_;
    absl::btree_map<Incarnation, absl::btree_map<TaskKey, OutstandingTask>> outstandingTasks_;
    NameMap<CreditRequestState> creditRequests_; ///< By service.
    JobSequence newestQueuedJob_{}; ///< Newest job whose tasks were put in the queue.
    NameMap<absl::btree_map<Incarnation, PeerDemand>> peerDemands_; ///< By service, then by entry.
    Instant startedAt_ = NEVER;
    Instant nextHeartbeat_;
    Instant nextResend_;
    bool proposalPending_ = false;
    bool rosterRead_ = false;
    bool configRead_ = false; ///< The table was read for the configuration.
    bool draining_ = false;
    Counters counters_;
};

}
