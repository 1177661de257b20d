/** @file takeover.cpp Evidence about the submissions of a removed entry. */

#include "entry_logic/takeover.h"

#include <algorithm>

namespace medlarmill
{

Takeover::Takeover(bool coversAll, bool certain, Instant startedAt)
    : coversAll_(coversAll)
    , certain_(certain)
    , startedAt_(startedAt)
{ }

void Takeover::expectWitness(Incarnation member)
{
    missingWitnesses_.insert(member);
}

void Takeover::onWitnessLost(Incarnation member)
{
    witnessLost_ = missingWitnesses_.erase(member) > 0 || witnessLost_;
}

void Takeover::onWitnessed(Incarnation member, const wire::WitnessedReply &reply)
{
    if (missingWitnesses_.erase(member) == 0) {
        return;
    }
    for (const wire::Answer &answer : reply.answers()) {
        answers_.emplace(answer.submission_id(), answer);
    }
}

void Takeover::onRecords(Incarnation agent, const google::protobuf::RepeatedPtrField<wire::TaskReport> &records)
{
    accounted_.insert(agent);
    for (const wire::TaskReport &record : records) {
        std::vector<ReportedStart> &starts = starts_[record.submission_id()];
        const auto known = std::ranges::find_if(starts, [&](const ReportedStart &start) {
            return start.agent == agent && start.report.index() == record.index();
        });
        if (known == starts.end()) {
            starts.push_back({agent, record});
        } else {
            known->report = record; // An agent that leaves repeats its records, with their results.
        }
    }
}

RecoveredState Takeover::recoveredState(const SubmissionId &id) const
{
    RecoveredState evidence;
    const auto answer = answers_.find(id);
    if (answer != answers_.end()) {
        evidence.answer = &answer->second;
    }
    const auto starts = starts_.find(id);
    if (starts != starts_.end()) {
        evidence.starts = starts->second;
    }
    return evidence;
}

}
