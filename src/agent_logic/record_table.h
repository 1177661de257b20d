/** @file record_table.h Start records of an agent, bounded in number, bytes and age. */

#pragma once

#include "agent_logic/agent_type.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <vector>

namespace medlarmill
{

/** Keeps the evidence of every start for the retention window; nothing is evicted earlier. */
class RecordTable
{
public:
    /** @param maxRecords most records. @param maxBytes most result bytes. @param retention how long a finished record is kept. */
    RecordTable(std::size_t maxRecords, std::size_t maxBytes, Duration retention);

    /** @return whether a further start can be recorded. */
    bool hasRoom() const;

    /** @param key the task. @return its record, or nullptr. */
    StartRecord *find(const TaskKey &key);

    /** @param key the task. @return its record, or nullptr. */
    const StartRecord *find(const TaskKey &key) const;

    /** Records a start. @param key the task. @param record the evidence. @pre hasRoom() and the key has no record. */
    void insert(const TaskKey &key, StartRecord &&record);

    /** Stores the outcome of a running task. @param key the task. @param outcome its outcome. @param now the present. @return the record.
     */
    StartRecord *finish(const TaskKey &key, TaskOutcome outcome, Instant now);

    /** Removes the record of a running task that was proved never to have reached the endpoint. @param key the task. */
    void erase(const TaskKey &key);

    /** Forgets records older than the retention window. @param now the present. */
    void expire(Instant now);

    /** Lists the records of a home in the order of their keys, without payloads. @param home the home. @return the records. */
    std::vector<wire::TaskReport> recordsOf(Incarnation home) const;

    /** @return every home with records here, in ascending order. */
    std::vector<Incarnation> homes() const;

    /** @return the number of records. */
    std::size_t size() const
    {
        return records_.size();
    }

private:
    struct Expiry
    {
        Instant at; ///< End of the retention.
        TaskKey key; ///< The record.
    };

    std::size_t maxRecords_;
    std::size_t maxBytes_;
    Duration retention_;
    std::size_t bytes_ = 0;
    absl::flat_hash_map<TaskKey, StartRecord> records_;
    std::deque<Expiry> expiries_;
};

}
