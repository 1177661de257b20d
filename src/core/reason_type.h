/** @file reason_type.h Reasons of answers, refusals and retries; the numbers go over the wire. */

#pragma once

#include <cstdint>

namespace medlarmill
{

/** Why an answer, a refusal or a retry happened. Numbers are never reused. */
enum class Reason : std::uint32_t {
    None = 0,
    // Refusals of a whole job: it has not run and will not run.
    UnknownService = 1, ///< No configuration names the service.
    UnknownKind = 2, ///< The service has no such request kind.
    QueueFull = 3, ///< The queue limit of the service is reached.
    DeadlineUnreachable = 4, ///< The estimated completion lies past the deadline.
    JobTableFull = 5, ///< The table of retained submissions is full.
    NotReady = 6, ///< The entry has no configuration or no roster yet.
    Draining = 7, ///< The entry is stopping and takes no new work.
    CancelledBeforeStart = 8, ///< Cancelled when no task had started.
    DeadlineBeforeStart = 9, ///< The deadline passed when no task had started.
    TeamQuota = 10, ///< The team has reached its quota of waiting work.
    RingFull = 11, ///< A bounded ring between two threads is full.
    // Failures of an accepted job.
    TaskFailed = 20, ///< An endpoint reported that a task failed.
    EndpointLost = 21, ///< The endpoint of a started task was lost; the task may have run.
    DeadlinePassed = 22, ///< The deadline passed while tasks were running.
    Cancelled = 23, ///< Cancelled after tasks had started.
    RetryBudgetSpent = 24, ///< Tasks proved not started were granted again too often.
    EndpointsFailing = 25, ///< Every try on the endpoints was lost.
    CallerGone = 26, ///< The caller closed its connection.
    // The outcome is unknown.
    HomeUnreachable = 40, ///< The home entry did not answer.
    TakeoverIncomplete = 41, ///< A lost home may have started the job and not every agent has reported.
    Expired = 42, ///< The submission is older than the retention window.
    WitnessMissing = 43, ///< No second entry could record the refusal.
    // The request itself is wrong.
    Conflict = 60, ///< The submission id was used with another body.
    NotFound = 61, ///< No such submission is known.
    Malformed = 62, ///< The request could not be parsed.
    TooLarge = 63, ///< A size limit was exceeded.
    // Refusals of one grant by an agent; the task has not started.
    Fenced = 80, ///< The granting entry incarnation was fenced.
    StaleLease = 81, ///< The stamp of the grant is older than the lease.
    NotAdmitted = 82, ///< Not every entry of the roster has admitted the agent.
    Leaving = 83, ///< The endpoint is leaving.
    Busy = 84, ///< No slot is free.
    RecordsFull = 85, ///< The table of start records is full.
    NeverSeen = 86, ///< The agent never received the grant.
    EndpointAbsent = 87, ///< The endpoint could not be connected to.
    DuplicateStart = 88, ///< The task was started before.
    NoRoom = 89, ///< The endpoint has no room for the task.
    EndpointUnhealthy = 90, ///< The endpoint refused as unhealthy, or is taken out.
    TimeUp = 91, ///< The time of the order was up.
    StoppedByOrder = 92, ///< The entry cancelled the run.
    LeaseLapsed = 93, ///< The lease of the run expired.
    EndpointRestarted = 94, ///< The endpoint ended or restarted.
    NoAnswer = 95, ///< The endpoint did not answer the start; the run was stopped.
    AgentLost = 96, ///< The agent was silent until its lease had expired.
    Stalled = 97, ///< The run stood still and was stopped.
    OldAttempt = 98, ///< The endpoint has seen a higher attempt.
    UnsupportedJob = 99, ///< The job asks for a property that is not served.
    EndpointCrashed = 100, ///< The endpoint ended without notice while it had the run.
    CrashesEndpoints = 101, ///< Endpoints crashed under several runs of a task of the job.
    Evacuated = 102, ///< The availability zone of the endpoint is evacuated.
    AnswerUseless = 103, ///< The answer would come too late to be of use to the caller.
    NoMemory = 104, ///< The memory budget of the process is used up.
};

}
