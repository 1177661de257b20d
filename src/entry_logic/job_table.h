/** @file job_table.h Jobs homed at one entry, bounded in number and bytes, with deadlines and retention. */

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

/** Owns the jobs of an entry from their arrival to the end of their retention. */
class JobTable
{
public:
    /** @param maxJobs most jobs, answered ones included. @param maxBytes most bytes of inputs and results. @param retention how long an
     * answered job is kept. */
    JobTable(std::size_t maxJobs, std::size_t maxBytes, Duration retention);

    /** @param bytes size of a new job. @return whether it fits. */
    bool hasRoom(std::size_t bytes) const;

    /** Adds a job. @param job the job; its sequence is set here. @pre no job has its id. @return the job in the table. */
    Job &insert(Job job);

    /** @param id a submission id. @return the job, or nullptr. */
    Job *find(const SubmissionId &id);

    /** @param sequence a handle. @return the job, or nullptr. */
    Job *find(JobSequence sequence);

    /** Marks a job as answered: its inputs are freed and its retention begins. @param job the job. @param now the present. */
    void setAnswered(Job &job, Instant now);

    /** Forgets a job that nothing was promised about. @param job the job. */
    void erase(const Job &job);

    /** Adds the bytes of a result. @param bytes how many. */
    void addBytes(std::size_t bytes)
    {
        bytes_ += bytes;
    }

    /** @param now the present. @return unanswered jobs whose deadline has passed. */
    std::vector<JobSequence> overdue(Instant now) const;

    /** Forgets answered jobs past their retention. @param now the present. */
    void expire(Instant now);

    /** @return jobs that wait for custody, in order of arrival. */
    std::vector<JobSequence> awaitingOwnership() const;

    /** @return jobs whose answer waits for a witness. */
    std::vector<JobSequence> awaitingWitness() const;

    /** @param roster the roster. @return jobs whose answer was recorded by an entry that is no member any more. */
    std::vector<Job *> answeredWithLostWitness(const wire::Roster &roster);

    /** Moves a job to another phase. @param job the job. @param phase the phase. @param now the present. */
    void setPhase(Job &job, JobPhase phase, Instant now);

    /** @return ids of all jobs, in order of arrival. */
    std::vector<SubmissionId> ids() const;

    /** @return unanswered jobs. */
    std::size_t open() const
    {
        return deadlines_.size();
    }

    /** @return all jobs. */
    std::size_t size() const
    {
        return byId_.size();
    }

    /** @return bytes of inputs and results. */
    std::size_t bytes() const
    {
        return bytes_;
    }

private:
    struct Expiry
    {
        Instant at; ///< End of the retention.
        JobSequence job{}; ///< The job.
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
