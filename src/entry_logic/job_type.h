/** @file job_type.h Jobs and tasks as stored at their home entry. */

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

/** Sequence number of a job at one entry, in order of arrival. */
enum class JobSequence : std::uint64_t {};

/** Recipient of an answer: a caller connected to this entry, or another entry that forwarded the request. */
struct Waiter
{
    CallerToken caller = INVALID_CALLER_TOKEN; ///< Caller connected to this entry, or invalid.
    Incarnation peer = INVALID_INCARNATION; ///< Entry that forwarded the request, or invalid.
    std::uint64_t digest = 0; ///< Digest of the job body that the entry forwarded; 0 for fetch and cancel requests.

    bool operator==(const Waiter &) const = default;
};

/** State of a task at the home entry of its job. */
enum class TaskPhase : std::uint8_t {
    Waiting, ///< Not granted, or known not to have started.
    Granted, ///< Granted to an agent; it may have started.
    Done, ///< Completed; the result has been received.
};

/** A task at the home entry of its job. */
struct Task
{
    std::string payload; ///< Input; freed once the task is done.
    std::string result; ///< Output once the task is done.
    std::uint32_t declaredMs = 0; ///< Run time declared by the caller, 0 when none.
    TaskPhase phase = TaskPhase::Waiting;
    Incarnation agent = INVALID_INCARNATION; ///< Agent to which the task was granted.
    Duration expected{0}; ///< Estimated run time.
    std::uint32_t refusals = 0; ///< Number of grants that ended without the task being run.
};

/** State of a job at its home entry. */
enum class JobPhase : std::uint8_t {
    AwaitingOwnership, ///< Waiting until this entry knows what earlier home entries did with the submission.
    Active, ///< Its tasks are waiting or running.
    AwaitingWitness, ///< The answer is held back until another entry has recorded it.
    Answered, ///< The answer is final; it is kept for the retention time.
};

/** A job at its home entry. */
struct Job
{
    JobSequence sequence{}; ///< Set when the job is inserted into the table.
    SubmissionId id;
    std::uint64_t digest = 0; ///< Digest of the job body; distinguishes a resubmission from a conflicting job with the same id.
    std::string service;
    std::string kind; ///< Request kind.
    std::string team; ///< Team to which the job is accounted.
    bool idempotent = false; ///< Whether the caller marked the job as idempotent.
    Instant deadline; ///< Time by which the job has to be answered.
    std::vector<Task> tasks; ///< All tasks; emptied once the job is answered.
    std::uint32_t taskCount = 0; ///< Number of tasks; stays valid once the job is answered.
    std::uint32_t remaining = 0; ///< Number of tasks that are not done.
    std::uint32_t started = 0; ///< Number of tasks that have or may have been started.
    bool mayBeAnsweredComplete = false; ///< A lost home entry may have answered the job as complete, so it must not be answered as failed.
    JobPhase phase = JobPhase::AwaitingOwnership;
    std::vector<Waiter> waiters; ///< Recipients of the answer.
    wire::Answer answer; ///< Valid in the phases AwaitingWitness and Answered.
    Instant phaseSince; ///< Time at which the job entered its phase.
    Incarnation witness = INVALID_INCARNATION; ///< Entry that was last asked to record the answer.
    Instant witnessRetryAt; ///< Time at which the request to record the answer is sent again.
};

/** Assignment of a task to an agent. */
struct Assignment
{
    JobSequence job{};
    TaskIndex task{};
    Incarnation agent = INVALID_INCARNATION;
    bool isLong = false; ///< Whether the task is expected to run long.
    bool usesShortOnlyCredit = false; ///< Whether the task uses a short-only credit.
};

}
