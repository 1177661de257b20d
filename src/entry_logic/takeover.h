/** @file takeover.h Evidence collected about the submissions of an entry that was removed from the roster. */

#pragma once

#include "core/ids_type.h"
#include "core/time_type.h"
#include "wire/generated/medlarmill.pb.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <string>
#include <vector>

namespace medlarmill
{

/** A start that an agent reported. */
struct ReportedStart
{
    Incarnation agent = INVALID_INCARNATION; ///< Where the task was started.
    wire::TaskReport report; ///< State; the payload only when the agent has left.
};

/** What is known of one submission of a removed home. */
struct RecoveredState
{
    const wire::Answer *answer = nullptr; ///< A witnessed answer, or nullptr.
    std::vector<ReportedStart> starts; ///< Starts reported so far.
};

/** Collects, for one removed entry incarnation, the start records of all agents and the answers witnessed by the other entries. */
class Takeover
{
public:
    /**
     * @param coversAll whether every submission may have been homed there, or only those that it outscores this entry on.
     * @param allAgentsKnown whether every agent that the removed entry could use is known. @param startedAt the present.
     */
    Takeover(bool coversAll, bool allAgentsKnown, Instant startedAt);

    /** Every agent that the removed entry could use is known now. */
    void setAllAgentsKnown()
    {
        allAgentsKnown_ = true;
    }

    /** @return whether every agent that the removed entry could use is known. */
    bool areAllAgentsKnown() const
    {
        return allAgentsKnown_;
    }

    /** What a witness recorded may be lost. */
    void setWitnessLost()
    {
        witnessLost_ = true;
    }

    /** @return whether every submission may have been homed there. */
    bool coversAll() const
    {
        return coversAll_;
    }

    /** @return when the collection began. */
    Instant startedAt() const
    {
        return startedAt_;
    }

    /** Names an entry that may hold witnessed answers. @param member the entry. */
    void addWitness(Incarnation member);

    /** A witness is lost with what it knew. @param member the entry. */
    void onWitnessLost(Incarnation member);

    /** @return entries that have not answered yet. */
    const absl::btree_set<Incarnation> &pendingWitnesses() const
    {
        return pendingWitnesses_;
    }

    /** A witness answered. @param member the entry. @param reply its answers. */
    void onWitnessReply(Incarnation member, const wire::WitnessedReply &reply);

    /** An agent fenced the removed entry and reported its records, or left them behind; later reports replace earlier ones. @param agent
     * the agent. @param records the records.
     */
    void onAgentRecords(Incarnation agent, const google::protobuf::RepeatedPtrField<wire::TaskReport> &records);

    /** @param agent an agent. @return whether its records are known. */
    bool hasAgentReported(Incarnation agent) const
    {
        return reportedAgents_.contains(agent);
    }

    /** @return whether every witness answered and none was lost. */
    bool hasAllWitnessReplies() const
    {
        return pendingWitnesses_.empty() && !witnessLost_;
    }

    /** @param id a submission. @return what is known of it. */
    RecoveredState recoveredState(const SubmissionId &id) const;

private:
    bool coversAll_;
    bool allAgentsKnown_;
    bool witnessLost_ = false;
    Instant startedAt_;
    absl::btree_set<Incarnation> pendingWitnesses_;
    absl::btree_set<Incarnation> reportedAgents_;
    absl::flat_hash_map<SubmissionId, wire::Answer> answers_;
    absl::flat_hash_map<SubmissionId, std::vector<ReportedStart>> starts_;
};

}
