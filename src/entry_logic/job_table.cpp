/** @file job_table.cpp Table of the jobs whose home is this entry. */

#include "entry_logic/job_table.h"

#include "entry_logic/roster_func.h"

namespace medlarmill
{

namespace
{

constexpr std::size_t JOB_OVERHEAD_BYTES = 400; ///< Approximate memory of a job, without inputs and results.
constexpr std::size_t TASK_OVERHEAD_BYTES = 120; ///< Approximate memory of a task, without input and result.

}

JobTable::JobTable(std::size_t maxJobs, std::size_t maxBytes, Duration retention)
    : maxJobs_(maxJobs)
    , maxBytes_(maxBytes)
    , retention_(retention)
{ }

std::size_t JobTable::sizeOf(const Job &job)
{
    std::size_t bytes = JOB_OVERHEAD_BYTES;
    for (const Task &task : job.tasks) {
        bytes += TASK_OVERHEAD_BYTES + task.payload.size() + task.result.size();
    }
    for (const std::string &result : job.answer.results()) {
        bytes += result.size();
    }
    return bytes;
}

bool JobTable::hasRoom(std::size_t bytes) const
{
    return byId_.size() < maxJobs_ && bytes_ + bytes <= maxBytes_;
}

Job &JobTable::insert(Job job)
{
    job.sequence = JobSequence{nextSequence_++};
    bytes_ += sizeOf(job);
    byId_.emplace(job.id, job.sequence);
    deadlines_.emplace(job.deadline, job.sequence);
    if (job.phase == JobPhase::AwaitingOwnership) {
        awaitingOwnership_.insert(job.sequence);
    }
    const JobSequence sequence = job.sequence;
    return *bySequence_.emplace(sequence, std::make_unique<Job>(std::move(job))).first->second;
}

Job *JobTable::find(const SubmissionId &id)
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? nullptr : find(found->second);
}

Job *JobTable::find(JobSequence sequence)
{
    const auto found = bySequence_.find(sequence);
    return found == bySequence_.end() ? nullptr : found->second.get();
}

void JobTable::setPhase(Job &job, JobPhase phase, Instant now)
{
    awaitingOwnership_.erase(job.sequence);
    awaitingWitness_.erase(job.sequence);
    job.phase = phase;
    job.phaseSince = now;
    if (phase == JobPhase::AwaitingWitness) {
        awaitingWitness_.insert(job.sequence);
    }
}

void JobTable::setAnswered(Job &job, Instant now)
{
    bytes_ -= std::min(bytes_, sizeOf(job));
    job.tasks.clear();
    job.tasks.shrink_to_fit();
    job.waiters.clear();
    bytes_ += sizeOf(job);
    deadlines_.erase({job.deadline, job.sequence});
    setPhase(job, JobPhase::Answered, now);
    expiries_.push_back({now + retention_, job.sequence});
}

void JobTable::erase(const Job &job)
{
    bytes_ -= std::min(bytes_, sizeOf(job));
    const JobSequence sequence = job.sequence;
    deadlines_.erase({job.deadline, sequence});
    awaitingOwnership_.erase(sequence);
    awaitingWitness_.erase(sequence);
    byId_.erase(job.id);
    bySequence_.erase(sequence);
}

std::vector<JobSequence> JobTable::overdue(Instant now) const
{
    std::vector<JobSequence> overdueJobs;
    for (const auto &[deadline, job] : deadlines_) {
        if (deadline > now) {
            break;
        }
        overdueJobs.push_back(job);
    }
    return overdueJobs;
}

void JobTable::expire(Instant now)
{
    while (!expiries_.empty() && expiries_.front().at <= now) {
        const Job *job = find(expiries_.front().job);
        if (job != nullptr) {
            erase(*job);
        }
        expiries_.pop_front();
    }
}

std::vector<JobSequence> JobTable::awaitingOwnership() const
{
    return {awaitingOwnership_.begin(), awaitingOwnership_.end()};
}

std::vector<JobSequence> JobTable::awaitingWitness() const
{
    return {awaitingWitness_.begin(), awaitingWitness_.end()};
}

std::vector<Job *> JobTable::answeredWithLostWitness(const wire::Roster &roster)
{
    std::vector<Job *> jobs;
    for (const auto &[sequence, job] : bySequence_) {
        const bool isWitnessLost = job->witness != INVALID_INCARNATION && findMember(roster, job->witness) == nullptr;
        if (isWitnessLost && job->phase == JobPhase::Answered) {
            jobs.push_back(job.get());
        }
    }
    return jobs;
}

std::vector<SubmissionId> JobTable::ids() const
{
    std::vector<SubmissionId> ids;
    ids.reserve(bySequence_.size());
    for (const auto &[sequence, job] : bySequence_) {
        ids.push_back(job->id);
    }
    return ids;
}

}
