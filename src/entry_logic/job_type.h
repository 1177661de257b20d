/** @file job_type.h A job at its home entry. */

#pragma once

#include "core/ids_type.h"
#include "core/reason_type.h"
#include "core/time_type.h"
#include "wire/generated/medlarmill.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace medlarmill
{

/** Handle of a job at one entry; grows with every job. */
enum class JobSequence : std::uint64_t {};

/** Somebody who gets the answer: a caller's connection at this entry, or another entry. */
struct Waiter
{
    CallerToken caller = INVALID_CALLER_TOKEN; ///< A local caller, or invalid.
    Incarnation peer = INVALID_INCARNATION; ///< The entry that forwarded the job, or invalid.
    std::uint64_t digest = 0; ///< Hash of the body that the entry forwarded; 0 for reads.

    bool operator==(const Waiter &) const = default;
};

/** Where a task is in its life at the home. */
enum class TaskPhase : std::uint8_t {
    Waiting, ///< Not granted, or proved not started.
    Granted, ///< Granted; it may have started.
    Done, ///< Its result is here.
};

/** A task at its home. */
struct Task
{
    std::string payload; ///< Input.
    std::string result; ///< Output once done.
    std::uint32_t declaredMs = 0; ///< Declared run time, 0 when none.
    TaskPhase phase = TaskPhase::Waiting; ///< Where it is.
    Incarnation agent = INVALID_INCARNATION; ///< Agent it was granted to.
    Duration expected{0}; ///< Estimated run time.
    std::uint32_t refusals = 0; ///< Grants that were refused as not run.
};

/** Where a job is in its life at the home. */
enum class JobPhase : std::uint8_t {
    AwaitingOwnership, ///< Waits until this entry knows what an earlier home did.
    Active, ///< Its tasks wait or run.
    AwaitingWitness, ///< Its answer waits until a second entry has recorded it.
    Answered, ///< The answer is final and kept for the retention window.
};

/** A job at its home. */
struct Job
{
    JobSequence sequence{}; ///< Handle.
    SubmissionId id; ///< Submission id.
    std::uint64_t digest = 0; ///< Hash of the body; tells a resubmission from a conflict.
    std::string service; ///< Service.
    std::string kind; ///< Request kind.
    std::string team; ///< Team that pays.
    bool idempotent = false; ///< As marked by the caller.
    Instant deadline; ///< When the answer is due.
    std::vector<Task> tasks; ///< All tasks; emptied once answered.
    std::uint32_t taskCount = 0; ///< Number of tasks.
    std::uint32_t remaining = 0; ///< Tasks that are not done.
    std::uint32_t started = 0; ///< Tasks that are or may have been started.
    bool mayBeAnsweredComplete = false; ///< A lost home may have answered it as complete, so it cannot be failed here.
    JobPhase phase = JobPhase::AwaitingOwnership; ///< Where it is.
    std::vector<Waiter> waiters; ///< Who gets the answer.
    wire::Answer answer; ///< Valid from AwaitingWitness on.
    Instant phaseSince; ///< When the phase began.
    Incarnation witness = INVALID_INCARNATION; ///< Entry that recorded the answer.
    Instant witnessRetryAt; ///< When the witness is asked again.
};

/** A task chosen for an agent. */
struct Assignment
{
    JobSequence job{}; ///< The job.
    TaskIndex task{}; ///< The task.
    Incarnation agent = INVALID_INCARNATION; ///< Where it goes.
    bool isLong = false; ///< Counts as long work.
    bool usesShortOnlyCredit = false; ///< Uses a short-only slot.
};

}
