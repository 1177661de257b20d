/** @file crash_records.h Tasks under which endpoints crashed. */

#pragma once

#include "repeatable/repeatable_job_type.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <span>
#include <vector>

namespace medlarmill
{

/** A run that its endpoint had when it crashed. */
struct TaskCrash
{
    RunName run; ///< The run.
    Incarnation agent = INVALID_INCARNATION; ///< Agent of the endpoint.
    bool isSuspect = false; ///< It was among the runs started last.

    bool operator==(const TaskCrash &) const = default;
};

/**
 * Remembers under which tasks endpoints crashed. A crash soon after the start makes a task a suspect; after the second one it is given up,
 * since runs that were only beside the cause rarely are among the last started twice. A task that had run for longer is given up after
 * more crashes. Records outlive the job, so that a resubmission through this entry or another one does not begin again.
 */
class CrashRecords
{
public:
    /** Adds a crash; one that is known already is ignored. @param crash the crash. @param now current time. @return whether it is new. */
    bool add(const TaskCrash &crash, Instant now);

    /** @param submission a job. @param group index of a task group. @param index index of the task in it. @return whether an endpoint
     * crashed under the task. */
    bool isSuspect(const SubmissionId &submission, std::uint32_t group, std::uint32_t index) const;

    /** @param submission a job. @return whether so many endpoints crashed under one of its tasks that it must not be started again. */
    bool isGivenUp(const SubmissionId &submission) const;

    /** Drops old records. @param now current time. */
    void forgetOld(Instant now);

    /** @return all crashes that are remembered. */
    std::vector<TaskCrash> all() const;

private:
    absl::flat_hash_map<SubmissionId, std::vector<TaskCrash>> bySubmission_;
    std::deque<std::pair<Instant, SubmissionId>> times_; ///< When each crash was added, the oldest first.
};

}
