/** @file membership.h The entry's view of entries and agents, and whether it may decide on a submission. */

#pragma once

#include "core/ids_type.h"
#include "core/name_map_type.h"
#include "core/time_type.h"
#include "entry_logic/takeover.h"
#include "wire/generated/medlarmill.pb.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace medlarmill
{

/** Settings of the membership of an entry. */
struct MembershipSettings
{
    std::string name; ///< Name of the entry, stable over restarts.
    std::string zone; ///< Availability zone.
    std::string address; ///< Address for other entries and agents.
    Incarnation incarnation = INVALID_INCARNATION; ///< This life of the entry.
    Duration retention = Millis(600'000); ///< How long evidence is kept everywhere.
    Duration peerTimeout = Millis(1'500); ///< An entry not heard for so long is given up.
    Duration agentSuspectTimeout = Millis(1'000); ///< An agent not heard for so long gets no new work.
    Duration agentLossTimeout = Millis(3'000); ///< An agent not heard for so long has lost its running tasks.
    Duration takeoverTimeout = Millis(3'000); ///< Time for agents to report before submissions are answered as unknown.
    Duration coldStartTimeout = Millis(5'000); ///< A starting entry waits so long for the others before it gives them up.
};

/** An agent as the entry sees it. */
struct AgentView
{
    std::string name; ///< Name of the endpoint, stable over restarts.
    std::string service; ///< Its service.
    std::string zone; ///< Availability zone.
    std::uint32_t slots = 0; ///< Its slots.
    bool connected = false; ///< A session is open.
    bool suspect = false; ///< The session is silent; no new work.
    bool leaving = false; ///< Takes no new work.
    bool lost = false; ///< Given up: its running tasks count as lost.
    bool departed = false; ///< It stopped as planned and left its records.
    Instant lastMessageAt; ///< Last message.
    std::uint64_t stamp = 0; ///< Newest heartbeat stamp.
    std::uint64_t configVersion = 0; ///< Newest configuration it has in force.
};

/** Who decides on a submission. */
enum class OwnershipKind : std::uint8_t {
    Local, ///< This entry, now.
    Pending, ///< This entry, once it knows what an earlier home did.
    Uncertain, ///< This entry, but the evidence is incomplete: the outcome is unknown.
    Remote, ///< Another member.
    Expired, ///< The id was minted by an entry that is long gone.
    None, ///< There is no member that could be home.
};

/** Who decides on a submission, and where. */
struct Ownership
{
    OwnershipKind kind = OwnershipKind::None; ///< Who decides.
    Incarnation home = INVALID_INCARNATION; ///< The member, for Elsewhere.
};

/**
 * Roster, sessions, hand-overs and takeovers of one entry.
 *
 * A submission has one home: the highest rendezvous score over the members that do not leave, or the entry that minted the id. An
 * entry decides on a submission only when every earlier home is known to be silent for ever about it: a member that was there
 * before has adopted the roster and named the ids it keeps (hand-over), or it was removed, every agent has fenced it and reported
 * its starts, and every other entry has reported the answers it witnessed (takeover).
 */
class Membership
{
public:
    /** @param settings checked settings. */
    explicit Membership(MembershipSettings settings);

    /** Adopts a newer roster. @param roster the roster. @param now the present. @return whether it was newer. */
    bool adoptRoster(const wire::Roster &roster, Instant now);

    /** @param id the submission. @param service its service. @param now the present. @return who decides. */
    Ownership ownershipOf(const SubmissionId &id, std::string_view service, Instant now) const;

    /** @param id the submission. @return what removed homes are known to have done with it. */
    RecoveredState recoveredState(const SubmissionId &id) const;

    /** A session with another entry opened. @param peer the entry. @param now the present. */
    void onPeerConnected(Incarnation peer, Instant now);

    /** The session with another entry broke. @param peer the entry. */
    void onPeerDisconnected(Incarnation peer);

    /** Another entry was heard. @param peer the entry. @param now the present. */
    void onPeerActivity(Incarnation peer, Instant now);

    /** A heartbeat of another entry. @param peer the entry. @param heartbeat its content. @param now the present. */
    void onPeerHeartbeat(Incarnation peer, const wire::PeerHeartbeat &heartbeat, Instant now);

    /** A hand-over was answered. @param peer the entry. @param reply its content. @param now the present. */
    void onHandoverReply(Incarnation peer, const wire::HandoverReply &reply, Instant now);

    /** Witnessed answers arrived. @param peer the entry. @param reply its content. */
    void onWitnessedReply(Incarnation peer, const wire::WitnessedReply &reply);

    /** An agent opened a session. @param hello its hello. @param now the present. @return the agents this one replaces, now lost. */
    std::vector<Incarnation> onAgentHello(const wire::AgentHello &hello, Instant now);

    /** The session with an agent broke. @param agent the agent. */
    void onAgentDisconnected(Incarnation agent);

    /** An agent fenced a removed entry. @param agent the agent. @param reply its records. */
    void onFenceReply(Incarnation agent, const wire::FenceReply &reply);

    /** An agent stopped as planned. @param agent the agent. @param goodbye its records. */
    void onGoodbye(Incarnation agent, const wire::Goodbye &goodbye);

    /** Removed entries that an agent has not fenced yet for this entry. @param agent the agent. @return the incarnations. */
    std::vector<Incarnation> pendingFences(Incarnation agent) const;

    /** @return members that owe a hand-over. */
    std::vector<Incarnation> pendingHandovers() const;

    /** @return pairs of a connected member and a removed entry whose witnessed answers it owes. */
    std::vector<std::pair<Incarnation, Incarnation>> pendingWitnessRequests() const;

    /** Agents not heard for long become suspect, then lost. @param now the present. @return agents that became lost. */
    std::vector<Incarnation> expireAgents(Instant now);

    /** Forgets evidence older than the retention window. @param now the present. */
    void expireRecoveredState(Instant now);

    /** The next roster this entry wants, if any. @param now the present. @param unixMs the wall clock. @param leave whether this entry is
     * leaving. @param finished whether it has finished all work. @return the roster, version 0 when none is wanted. */
    wire::Roster proposedRoster(Instant now, std::uint64_t unixMs, bool leave, bool finished) const;

    /** The store was read. @param now the present. */
    void onStoreRead(Instant now);

    /** @param now the present. @return whether neither the store nor every member was reached for half of the retention window. */
    bool isIsolated(Instant now) const;

    /** @return a member to record an answer with: connected and heard, or INVALID_INCARNATION. @param now the present. */
    Incarnation chooseWitness(Instant now) const;

    /** @param home the member to reach. @param now the present. @return the entry to send to: the member, another that hears it, or
     * INVALID_INCARNATION. */
    Incarnation nextHop(Incarnation home, Instant now) const;

    /** @return members this entry heard of late, itself excluded. @param now the present. */
    std::vector<Incarnation> liveMembers(Instant now) const;

    /** @param service a service. @return slots of its usable agents. */
    std::uint32_t slots(std::string_view service) const;

    /** @param service a service. @return expected run time of the tasks waiting at the other entries. */
    Duration totalPeerBacklog(std::string_view service) const;

    /** @return agents by incarnation. */
    const absl::btree_map<Incarnation, AgentView> &agents() const
    {
        return agents_;
    }

    /** @param agent an agent. @return its state, or nullptr. */
    AgentView *findAgent(Incarnation agent);

    /** @return the newest roster. */
    const wire::Roster &roster() const
    {
        return roster_;
    }

    /** @return whether this entry is on the roster. */
    bool isMember() const;

    /** @return whether this entry was taken off the roster; it must start again under a new incarnation. */
    bool wasRemoved() const;

    /** @param peer a connected entry. @param now the present. @return whether it is heard but has not heard this entry for long. */
    bool isLinkOneWay(Incarnation peer, Instant now) const;

    /** @param version a configuration. @param now the present. @return whether every member that is heard has said that it has the version.
     */
    bool allLiveMembersHaveConfig(ConfigVersion version, Instant now) const;

    /** @param peer another entry. @param service a service. @return expected run time of the tasks waiting there. */
    Duration peerBacklog(Incarnation peer, std::string_view service) const;

    /** @return connected entries. */
    std::vector<Incarnation> connectedPeers() const;

    /** @return members other than this entry. */
    std::vector<Incarnation> otherMembers() const;

    /** Fills a hand-over reply with the agents and records known here. @param reply the reply. */
    void fillHandoverReply(wire::HandoverReply &reply) const;

    /** @return the settings. */
    const MembershipSettings &settings() const
    {
        return settings_;
    }

private:
    struct PeerView
    {
        bool connected = false; ///< A session is open.
        Instant knownSince; ///< First seen on the roster or connected.
        Instant lastMessageAt; ///< Last message.
        Instant connectedSince; ///< When the session opened.
        Instant reportedSelfAliveAt; ///< Last heartbeat that said that it hears this entry.
        ConfigVersion configVersion = INVALID_CONFIG_VERSION; ///< Newest configuration it has.
        absl::btree_set<Incarnation> reportedAlive; ///< Members it hears.
        NameMap<Duration> backlog; ///< Work waiting there by service.
    };

    struct Handover
    {
        bool coversAll = false; ///< Every submission, or only those it outscores this entry on.
    };

    struct RemoteId
    {
        Instant until; ///< End of the retention.
        SubmissionId id; ///< The submission.
    };

    bool mayHaveBeenHome(const SubmissionId &id, Incarnation other, bool coversAll) const;
    bool isComplete(const Takeover &takeover, std::string_view service) const;
    bool isAlive(Incarnation peer, Instant now) const;
    bool isReportedAlive(Incarnation member, Instant now) const;
    void beginHandovers(const wire::Roster &previous);
    void beginTakeovers(const wire::Roster &previous, Instant now);
    void startTakeover(Incarnation removed, bool coversAll, bool allAgentsKnown, Instant now);
    void applyDepartedRecords(Takeover &takeover, Incarnation removed, Incarnation agent);
    Ownership localOwnership(const SubmissionId &id, std::string_view service, Instant now) const;
    void addReportedAgent(const wire::AgentInfo &info, Instant now);

    MembershipSettings settings_;
    wire::Roster roster_;
    bool joined_ = false;
    absl::btree_map<Incarnation, PeerView> peers_;
    absl::btree_map<Incarnation, AgentView> agents_;
    absl::btree_map<Incarnation, Handover> handovers_;
    absl::btree_map<Incarnation, Takeover> takeovers_;
    absl::btree_map<Incarnation, absl::btree_map<Incarnation, wire::HomeRecords>> departedRecords_; ///< By agent, then by home.
    absl::flat_hash_map<SubmissionId, Incarnation> remoteOwners_;
    std::deque<RemoteId> remoteExpiries_;
    Instant lastConfirmedAt_ = Instant();
};

}
