/** @file cancelled_jobs.h Bounded record of cancelled jobs. */

#pragma once

#include "core/ids_type.h"
#include "core/time_type.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <vector>

namespace medlarmill
{

constexpr Millis CANCELLATION_RETENTION{120'000}; ///< How long a cancellation is remembered; longer than callers wait for an answer.

/** Remembers cancelled jobs for a time, in limited number. */
class CancelledJobs
{
public:
    /** @param limit maximum number of jobs; beyond it, the job cancelled first is forgotten. */
    explicit CancelledJobs(std::size_t limit = 20'000)
        : limit_(limit)
    { }

    /** Records a cancellation, or renews it. @param id the job. @param keep how long it is remembered, at most CANCELLATION_RETENTION; 0
     * for that.
     * @param now current time. @return whether the job was not recorded before. */
    bool add(const SubmissionId &id, Duration keep, Instant now);

    /** @param id a job. @return whether its cancellation is remembered. */
    bool contains(const SubmissionId &id) const
    {
        return records_.contains(id);
    }

    /** @param since a time. @return the jobs cancelled at or after it, oldest first. */
    std::vector<SubmissionId> cancelledSince(Instant since) const;

    /** @param id a recorded job. @param now current time. @return for how much longer it is remembered. */
    Duration timeLeft(const SubmissionId &id, Instant now) const;

    /** Forgets what is older than its retention. @param now current time. */
    void forgetOld(Instant now);

    /** @return number of jobs recorded. */
    std::size_t size() const
    {
        return records_.size();
    }

    /** @return number of jobs forgotten early for lack of space. */
    std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    struct Record
    {
        Instant cancelledAt; ///< When the cancellation was recorded last.
        Instant keepUntil; ///< When it is forgotten.
    };

    std::size_t limit_;
    absl::flat_hash_map<SubmissionId, Record> records_;
    absl::btree_set<std::pair<Instant, SubmissionId>> byTime_; ///< By Record::cancelledAt.
    absl::btree_set<std::pair<Instant, SubmissionId>> byEnd_; ///< By Record::keepUntil.
    std::uint64_t dropped_ = 0;

    void erase(const SubmissionId &id);
};

}
