/** @file record_table.cpp Start records of an agent. */

#include "agent_logic/record_table.h"

#include <absl/container/btree_set.h>
#include <algorithm>
#include <tuple>

namespace medlarmill
{

RecordTable::RecordTable(std::size_t maxRecords, std::size_t maxBytes, Duration retention)
    : maxRecords_(maxRecords)
    , maxBytes_(maxBytes)
    , retention_(retention)
{ }

bool RecordTable::hasRoom() const
{
    return records_.size() < maxRecords_ && bytes_ < maxBytes_;
}

StartRecord *RecordTable::find(const TaskKey &key)
{
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
}

const StartRecord *RecordTable::find(const TaskKey &key) const
{
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
}

void RecordTable::insert(const TaskKey &key, StartRecord &&record)
{
    records_.emplace(key, std::move(record));
}

StartRecord *RecordTable::finish(const TaskKey &key, TaskOutcome outcome, Instant now)
{
    StartRecord *record = find(key);
    if (record == nullptr || record->state != wire::TASK_RUNNING) {
        return nullptr;
    }
    record->state = outcome.state;
    record->reason = outcome.reason;
    record->payload = std::move(outcome.payload);
    record->runMs = static_cast<std::uint32_t>(toMillis(now - record->startedAt));
    bytes_ += record->payload.size();
    expiries_.push_back({now + retention_, key});
    return record;
}

void RecordTable::erase(const TaskKey &key)
{
    records_.erase(key);
}

void RecordTable::expire(Instant now)
{
    while (!expiries_.empty() && expiries_.front().at <= now) {
        const auto found = records_.find(expiries_.front().key);
        if (found != records_.end()) {
            bytes_ -= found->second.payload.size();
            records_.erase(found);
        }
        expiries_.pop_front();
    }
}

std::vector<wire::TaskReport> RecordTable::recordsOf(Incarnation home) const
{
    std::vector<wire::TaskReport> reports;
    for (const auto &[key, record] : records_) {
        if (record.home != home) {
            continue;
        }
        wire::TaskReport &report = reports.emplace_back();
        report.set_submission_id(key.submission);
        report.set_index(static_cast<std::uint32_t>(key.index));
        report.set_state(record.state);
        report.set_task_count(record.taskCount);
        report.set_digest(record.digest);
    }
    std::ranges::sort(reports, {}, [](const wire::TaskReport &report) {
        return std::tuple(std::string_view(report.submission_id()), report.index());
    });
    return reports;
}

std::vector<Incarnation> RecordTable::homes() const
{
    absl::btree_set<Incarnation> homes;
    for (const auto &[key, record] : records_) {
        homes.insert(record.home);
    }
    return {homes.begin(), homes.end()};
}

}
