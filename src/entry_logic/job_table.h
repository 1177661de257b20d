/** @file job_table.h Table of the jobs whose home is this entry, bounded in number and bytes. */

#pragma once

#include "entry_logic/job_type.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <deque>
#include <memory>
#include <vector>

namespace medlarmill
{

/** Owns the jobs of an entry from their arrival to the end of their retention time, and indexes them by id, deadline and phase. */
class JobTable
{
public:
    /** @param maxJobs maximum number of jobs, including answered ones. @param maxBytes maximum memory of the jobs in bytes.
     * @param retention how long an answered job is kept. */
    JobTable(std::size_t maxJobs, std::size_t maxBytes, Duration retention);

    /** @return whether a new job of the given size in bytes fits into the table. */
    bool hasRoom(std::size_t bytes) const;

    /** Adds a job and sets its sequence number. @pre the table has no job with the same id. @return the job in the table. */
    Job &insert(Job job);

    /** @return the job, or nullptr when it is not in the table. */
    Job *find(const SubmissionId &id);

    /** @return the job, or nullptr when it is not in the table. */
    Job *find(JobSequence sequence);

    /** Marks a job as answered: frees its tasks and starts its retention time. */
    void setAnswered(Job &job, Instant now);

    /** Removes a job. Only valid for a job without a final answer, or after its retention time. */
    void erase(const Job &job);

    /** Accounts for the bytes of a task result that was stored in a job. */
    void addBytes(std::size_t bytes)
    {
        bytes_ += bytes;
    }

    /** @return unanswered jobs whose deadline has passed, earliest deadline first. */
    std::vector<JobSequence> overdue(Instant now) const;

    /** Removes answered jobs whose retention time has passed. */
    void expire(Instant now);

    /** @return jobs in the phase AwaitingOwnership, in order of arrival. */
    std::vector<JobSequence> awaitingOwnership() const;

    /** @return jobs in the phase AwaitingWitness, in order of arrival. */
    std::vector<JobSequence> awaitingWitness() const;

    /** @return answered jobs whose answer was recorded by an entry that is no longer on the roster. */
    std::vector<Job *> answeredWithLostWitness(const wire::Roster &roster);

    /** Moves a job to another phase and updates the indexes. */
    void setPhase(Job &job, JobPhase phase, Instant now);

    /** @return submission ids of all jobs, in order of arrival. */
    std::vector<SubmissionId> ids() const;

    /** @return number of unanswered jobs. */
    std::size_t openCount() const
    {
        return deadlines_.size();
    }

    /** @return number of jobs, including answered ones. */
    std::size_t size() const
    {
        return byId_.size();
    }

    /** @return memory of the jobs in bytes. */
    std::size_t bytes() const
    {
        return bytes_;
    }

private:
    struct Expiry
    {
        Instant at; ///< End of the retention time.
        JobSequence job{};
    };

    static std::size_t sizeOf(const Job &job);

    std::size_t maxJobs_;
    std::size_t maxBytes_;
    Duration retention_;
    std::size_t bytes_ = 0;
    std::uint64_t nextSequence_ = 1;
    absl::btree_map<JobSequence, std::unique_ptr<Job>> bySequence_;
    absl::flat_hash_map<SubmissionId, JobSequence> byId_;
    absl::btree_set<std::pair<Instant, JobSequence>> deadlines_;
    absl::btree_set<JobSequence> awaitingOwnership_;
    absl::btree_set<JobSequence> awaitingWitness_;
    std::deque<Expiry> expiries_;
};

}
