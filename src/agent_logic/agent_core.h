/** @file agent_core.h Decisions of the process beside an endpoint: which grants start, and which entry gets a free slot. */

#pragma once

#include "agent_logic/agent_output.h"
#include "agent_logic/agent_type.h"
#include "agent_logic/record_table.h"
#include "core/counters.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <span>

namespace medlarmill
{

/**
 * State machine of one agent. It owns the evidence of every start and refuses any grant that could start a task twice:
 * grants of fenced entries, grants that quote a heartbeat older than the lease, and grants received before every entry
 * of the roster has admitted the agent.
 */
class AgentCore
{
public:
    /** @param settings checked settings. @param output receiver of the actions; must outlive the core. */
    AgentCore(AgentSettings settings, AgentOutput &output);

    /** A session with an entry was opened; an earlier one with the same incarnation is over. @param entry the entry. @param now the
     * present. */
    void onEntryConnected(Incarnation entry, Instant now);

    /** The session with an entry broke. @param entry the entry. */
    void onEntryDisconnected(Incarnation entry);

    /** A message of an entry arrived. @param entry the sender. @param message the message. @param now the present. */
    void onEntryMessage(Incarnation entry, const wire::Message &message, Instant now);

    /** The endpoint answered a task. @param key the task. @param outcome its outcome. @param now the present. */
    void onTaskFinished(const TaskKey &key, TaskOutcome outcome, Instant now);

    /** The endpoint announced itself or vanished. @param slots free and used slots together; 0 when absent. */
    void onEndpointChanged(std::uint32_t slots);

    /** The endpoint or the agent leaves: no new work. */
    void startLeaving();

    /** Time passed. @param now the present. */
    void tick(Instant now);

    /** @return whether a planned stop has finished all work and handed over its records. */
    bool isStopped() const;

    /** @return the hello that opens a session. */
    wire::Message hello() const;

    /** @return whether every entry of the roster has admitted this agent. */
    bool isActive() const
    {
        return active_;
    }

    /** @return number of running tasks. */
    std::size_t running() const
    {
        return running_.size();
    }

    /** @return whether the agent is leaving. */
    bool isLeaving() const
    {
        return leaving_;
    }

    /** @return the newest roster version known. */
    RosterVersion rosterVersion() const
    {
        return RosterVersion{roster_.version()};
    }

    /** @return version of the service's configuration in force: one that every entry in reach has in force too, so that it never goes back
     * when the agent starts again and hears another entry first. */
    ConfigVersion configVersion() const
    {
        return ConfigVersion{service_.version()};
    }

    /** @return event counters. */
    const Counters &counters() const
    {
        return counters_;
    }

private:
    struct EntryLink
    {
        bool admitted = false; ///< The entry has admitted this agent in this session.
        std::uint32_t generalOffered = 0; ///< Slots offered and not yet used, for any task.
        std::uint32_t shortOffered = 0; ///< Slots offered and not yet used, for short tasks.
        std::uint32_t waiting = 0; ///< Tasks waiting at the entry when last heard.
        ConfigVersion configVersion = INVALID_CONFIG_VERSION; ///< In force at the entry.
        Instant lastHeard; ///< Last message.
        Instant nextHeartbeat; ///< When the next heartbeat is due.
        bool goodbyeSent = false; ///< Start records were handed over.
        bool goodbyeAcked = false; ///< The entry has stored them.
    };

    void onAdmit(Incarnation entry, const wire::Admit &admit, Instant now);
    void onGrant(Incarnation entry, const wire::Grant &grant, Instant now);
    void onCreditReturn(Incarnation entry, const wire::CreditReturn &message);
    void onQuery(Incarnation entry, const wire::TaskQuery &query);
    void onCancel(const wire::TaskCancel &cancel);
    void onFence(Incarnation entry, const wire::FenceRequest &request);
    void onHeartbeatAck(Incarnation entry, const wire::HeartbeatAck &ack);
    void onServiceUpdate(Incarnation entry, const wire::ServiceUpdate &update, Instant now);
    Reason refusalOf(Incarnation entry, const wire::Grant &grant, Instant now) const;
    void startGranted(Incarnation entry, const wire::Grant &grant, Instant now);
    void refuse(Incarnation entry, const TaskKey &key, Reason reason);
    void report(Incarnation entry, const TaskKey &key, const StartRecord &record, bool credit, bool shortOnly);
    void adoptRoster(const wire::Roster &roster);
    void updateActive();
    void activateService(Instant now);
    void offerSlots();
    void sendGoodbyes();
    std::uint32_t freeSlots() const;
    bool nextOfferIsShortOnly() const;
    Incarnation chooseEntry(Incarnation preferred) const;
    static void addOffer(EntryLink &link, bool shortOnly);

    AgentSettings settings_;
    AgentOutput &output_;
    RecordTable records_;
    absl::btree_map<Incarnation, EntryLink> entries_;
    absl::btree_set<TaskKey> running_;
    absl::btree_set<Incarnation> fenced_;
    absl::btree_set<Incarnation> admittedBy_;
    wire::Roster roster_;
    wire::ServiceUpdate service_;
    wire::ServiceUpdate learnedService_;
    Instant learnedAt_ = NEVER;
    std::uint32_t slots_;
    bool active_ = false;
    bool leaving_ = false;
    Counters counters_;
};

}
