/** @file takeover.cpp Recovery of the state of submissions whose home entry was removed from the roster. */

#include "entry_logic/takeover.h"

#include <algorithm>

namespace medlarmill
{

Takeover::Takeover(bool coversAll, bool allAgentsKnown, Instant startedAt)
    : coversAll_(coversAll)
    , allAgentsKnown_(allAgentsKnown)
    , startedAt_(startedAt)
{ }

void Takeover::addWitness(Incarnation member)
{
    pendingWitnesses_.insert(member);
}

void Takeover::onWitnessLost(Incarnation member)
{
    witnessLost_ = pendingWitnesses_.erase(member) > 0 || witnessLost_;
}

void Takeover::onWitnessReply(Incarnation member, const wire::WitnessedReply &reply)
{
    if (pendingWitnesses_.erase(member) == 0) {
        return;
    }
    for (const wire::Answer &answer : reply.answers()) {
        answers_.emplace(answer.submission_id(), answer);
    }
}

void Takeover::onAgentRecords(Incarnation agent, const google::protobuf::RepeatedPtrField<wire::TaskReport> &records)
{
    reportedAgents_.insert(agent);
    for (const wire::TaskReport &record : records) {
        std::vector<ReportedStart> &starts = starts_[record.submission_id()];
        const auto known = std::ranges::find_if(starts, [&](const ReportedStart &start) {
            return start.agent == agent && start.report.index() == record.index();
        });
        if (known == starts.end()) {
            starts.push_back({agent, record});
        } else {
            known->report = record; // A departing agent reports its records again, now with the results.
        }
    }
}

RecoveredState Takeover::recoveredState(const SubmissionId &id) const
{
    RecoveredState state;
    const auto answer = answers_.find(id);
    if (answer != answers_.end()) {
        state.answer = &answer->second;
    }
    const auto starts = starts_.find(id);
    if (starts != starts_.end()) {
        state.starts = starts->second;
    }
    return state;
}

}
