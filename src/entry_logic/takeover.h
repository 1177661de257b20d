/** @file takeover.h Recovery of the state of submissions whose home entry was removed from the roster. */

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

/** A task start reported by an agent. */
struct ReportedStart
{
    Incarnation agent = INVALID_INCARNATION; ///< Agent that started the task.
    wire::TaskReport report; ///< State of the task; has the result only when the agent has departed.
};

/** State recovered for one submission of removed home entries. */
struct RecoveredState
{
    const wire::Answer *answer = nullptr; ///< Answer recorded by a witness, or nullptr.
    std::vector<ReportedStart> starts; ///< Task starts reported so far.
};

/** Collects the start records of all agents and the answers recorded by witnesses, for one removed entry incarnation. */
class Takeover
{
public:
    /**
     * @param coversAll whether the removed entry may have been home of any submission, or only of those for which its rendezvous score is
     * higher than that of this entry.
     * @param allAgentsKnown whether this entry knows every agent to which the removed entry could grant tasks.
     * @param startedAt time at which the takeover starts.
     */
    Takeover(bool coversAll, bool allAgentsKnown, Instant startedAt);

    /** Records that this entry knows every agent to which the removed entry could grant tasks. */
    void setAllAgentsKnown()
    {
        allAgentsKnown_ = true;
    }

    /** @return whether this entry knows every agent to which the removed entry could grant tasks. */
    bool areAllAgentsKnown() const
    {
        return allAgentsKnown_;
    }

    /** Records that answers stored by a witness may be lost. */
    void setWitnessLost()
    {
        witnessLost_ = true;
    }

    /** @return whether the removed entry may have been home of any submission. */
    bool coversAll() const
    {
        return coversAll_;
    }

    /** @return time at which the takeover started. */
    Instant startedAt() const
    {
        return startedAt_;
    }

    /** Adds an entry that may have recorded answers of the removed entry. */
    void addWitness(Incarnation member);

    /** Handles the removal of a witness from the roster; its records are lost if it has not replied yet. */
    void onWitnessLost(Incarnation member);

    /** @return witnesses that have not replied yet. */
    const absl::btree_set<Incarnation> &pendingWitnesses() const
    {
        return pendingWitnesses_;
    }

    /** Handles the reply of a witness with the answers it recorded for the removed entry. */
    void onWitnessReply(Incarnation member, const wire::WitnessedReply &reply);

    /** Handles the start records of an agent that has fenced the removed entry or has departed. Later reports of a task replace earlier
     * ones. */
    void onAgentRecords(Incarnation agent, const google::protobuf::RepeatedPtrField<wire::TaskReport> &records);

    /** @return whether the start records of the agent are known. */
    bool hasAgentReported(Incarnation agent) const
    {
        return reportedAgents_.contains(agent);
    }

    /** @return whether every witness has replied and none was lost. */
    bool hasAllWitnessReplies() const
    {
        return pendingWitnesses_.empty() && !witnessLost_;
    }

    /** @return the state recovered for a submission so far. */
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
