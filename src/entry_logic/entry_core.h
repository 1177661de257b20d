/** @file entry_core.h Decision logic of an entry: routing of submissions, job life cycle, task grants and answers. */

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

constexpr Duration CREDIT_REQUEST_LIFETIME = Millis(250); ///< Time after which a credit request expires.

/** Settings of the decision logic. */
struct EntrySettings
{
    MembershipSettings membership; ///< Identity and timeouts.
    std::size_t maxJobs = 200'000; ///< Maximum number of jobs in the job table, including answered ones.
    std::size_t maxJobBytes = 64U << 20U; ///< Maximum total size of their inputs and results in bytes.
    std::size_t maxRelayedRequests = 50'000; ///< Maximum number of unanswered requests relayed to other entries.
    std::size_t maxRecordedAnswers = 200'000; ///< Maximum number of answers recorded on behalf of other entries.
    Duration peerHeartbeatInterval = Millis(250); ///< Interval between heartbeats to the other entries.
    Duration resendInterval = Millis(500); ///< Interval at which an unanswered request to another process is repeated.
    Duration answerGracePeriod = Millis(2'000); ///< Time past its deadline after which a relayed request is answered as unknown.
    /** Time to wait for the platform table after the start before a configuration from another entry is used. */
    Duration tableReadTimeout = Millis(3'000);
    /** Time for another entry to record an answer before callers are told that the outcome is unknown. */
    Duration witnessTimeout = Millis(1'000);
    bool admitByEstimate = true; ///< Refuse jobs that are estimated to complete too late for their deadline.
};

/**
 * State machine of one entry. It does no I/O and reads no clock: events are passed in with the current time, actions are issued through
 * EntryOutput.
 *
 * Every submission has one home entry, which admits the job, grants its tasks to agents and decides on its answer; see Membership. Other
 * entries relay requests to the home entry and its answers to the caller.
 */
class EntryCore
{
public:
    /** @param settings validated settings. @param output receiver of the actions; must outlive this object. */
    EntryCore(EntrySettings settings, EntryOutput &output);

    /** Accepts a job from a caller. @param caller handle to answer. @param job the job; an id is generated if it has none. @param now
     * current time. */
    void submit(CallerToken caller, wire::Job job, Instant now);

    /** Answers a caller with the answer to a submission, or its present state. @param caller handle to answer. @param id the submission.
     * @param now current time. */
    void fetch(CallerToken caller, const SubmissionId &id, Instant now);

    /** Cancels a job for a caller. @param caller handle to answer. @param id the submission. @param now current time. */
    void cancel(CallerToken caller, const SubmissionId &id, Instant now);

    /** Registers an agent that opened a session, which replaces an earlier one of the same incarnation. @param hello its first message.
     * @param now current time. */
    void onAgentHello(const wire::AgentHello &hello, Instant now);

    /** Handles the loss of the session with an agent. @param agent the agent. */
    void onAgentDisconnected(Incarnation agent);

    /** Handles a message from an agent. @param agent the sender. @param message the message. @param now current time. */
    void onAgentMessage(Incarnation agent, const wire::Message &message, Instant now);

    /** Handles a new session with another entry. @param peer the entry. @param now current time. */
    void onPeerConnected(Incarnation peer, Instant now);

    /** Handles the loss of the session with another entry. @param peer the entry. */
    void onPeerDisconnected(Incarnation peer);

    /** Handles a message from another entry. @param peer the sender. @param message the message. @param now current time. */
    void onPeerMessage(Incarnation peer, const wire::Message &message, Instant now);

    /** Handles the roster read from the platform table. @param roster the roster; version 0 if the table has none yet. @param now current
     * time. */
    void onRosterRead(const wire::Roster &roster, Instant now);

    /** Handles a roster update without a result: the platform table did not answer, or the update could not be sent. */
    void onRosterProposalFailed();

    /** Handles the configuration read from the platform table. @param version its version, or INVALID_CONFIG_VERSION if it is not newer
     * than the last one read. @param text its document. @param now current time. */
    void onConfigRead(ConfigVersion version, std::string_view text, Instant now);

    /** Accepts a newer valid configuration. It comes into force once every reachable member has it too, so that an entry restarted during
     * an outage of the platform table gets at least this version from the others. @param version its version. @param text its document.
     * @param now current time. */
    void onConfig(ConfigVersion version, std::string_view text, Instant now);

    /** Runs timeouts and periodic work. @param now current time. */
    void tick(Instant now);

    /** Begins a planned shutdown. */
    void startDraining()
    {
        draining_ = true;
    }

    /** @return whether a planned shutdown is complete: every request is answered and this entry has left the roster. */
    bool isStopped() const;

    /** @return why the entry is not ready, or an empty string if it is. */
    std::string notReadyReason() const;

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

    const Dispatcher &dispatcher() const
    {
        return dispatcher_;
    }

    /** @return jobs whose home is this entry. */
    const JobTable &jobs() const
    {
        return jobs_;
    }

    const Counters &counters() const
    {
        return counters_;
    }

private:
    // Jobs whose home is this entry (entry_jobs.cpp).
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

    // Requests from callers and other entries (entry_relay.cpp).
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

    // Sessions with other entries and agents (entry_peers.cpp).
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

    /** A granted task without a final report. */
    struct OutstandingTask
    {
        JobSequence job{}; ///< The job; it may be answered already.
        std::string service;
    };

    /** Tasks waiting for credits at another entry, as that entry last reported them. */
    struct PeerDemand
    {
        std::deque<WaitingJobSummary> jobs; ///< Its most urgent jobs, most urgent first.
        Instant headRank = NEVER; ///< Rank of its most urgent job; NEVER if none is waiting.
        Instant validUntil; ///< When the list of jobs expires.
    };

    /** The last credit request sent for a service. */
    struct CreditRequestState
    {
        JobSequence newestJob{}; ///< Newest queued job of this entry at that time.
        Instant validUntil; ///< When the request expires and is repeated.
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
    /** Newest accepted configuration; in force once every reachable member has it. */
    ConfigVersion acceptedConfigVersion_ = INVALID_CONFIG_VERSION;
    std::string acceptedConfigText_;
    absl::btree_map<Incarnation, absl::btree_map<TaskKey, OutstandingTask>> outstandingTasks_;
    NameMap<CreditRequestState> creditRequests_; ///< By service.
    JobSequence newestQueuedJob_{}; ///< Newest job with tasks that were queued.
    NameMap<absl::btree_map<Incarnation, PeerDemand>> peerDemands_; ///< By service, then by entry.
    Instant startedAt_ = NEVER;
    Instant nextHeartbeat_;
    Instant nextResend_;
    bool proposalPending_ = false; ///< A roster update was sent to the platform table and has not been answered.
    bool rosterRead_ = false; ///< The roster was read from the platform table.
    bool configRead_ = false; ///< The configuration was read from the platform table.
    bool draining_ = false;
    Counters counters_;
};

}
