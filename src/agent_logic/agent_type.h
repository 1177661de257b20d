/** @file agent_type.h Settings and records of the agent's decision code. */

#pragma once

#include "core/ids_type.h"
#include "core/reason_type.h"
#include "core/time_type.h"
#include "wire/generated/medlarmill.pb.h"

#include <cstdint>
#include <string>

namespace medlarmill
{

/** Settings of one agent; see AgentCoreBuilder for the defaults. */
struct AgentSettings
{
    std::string name; ///< Name of the endpoint, stable over restarts.
    std::string service; ///< Service that the endpoint serves.
    std::string zone; ///< Availability zone.
    Incarnation incarnation = INVALID_INCARNATION; ///< This life of the agent.
    std::uint32_t slots = 8; ///< Tasks that may run at once.
    std::uint32_t shortReserve = 1; ///< Slots that long tasks cannot take.
    Duration lease = Millis(2000); ///< Oldest heartbeat stamp that a grant may quote.
    Duration heartbeatInterval = Millis(250); ///< Time between heartbeats to one entry.
    Duration entrySilence = Millis(1000); ///< A connection to an entry that is silent for so long is replaced.
    Duration retention = Millis(600'000); ///< How long a finished record is kept.
    std::size_t maxRecords = 200'000; ///< Start records kept at most.
    std::size_t maxRecordBytes = 48U << 20U; ///< Result bytes kept at most.
};

/** Evidence that a task was started here. */
struct StartRecord
{
    Incarnation home = INVALID_INCARNATION; ///< Entry incarnation that granted the task.
    Incarnation reporter = INVALID_INCARNATION; ///< Entry that the outcome is reported to.
    wire::TaskState state = wire::TASK_RUNNING; ///< Running, complete, failed or lost.
    Reason reason = Reason::None; ///< Why the task failed.
    std::string payload; ///< Result bytes.
    std::uint32_t taskCount = 0; ///< Tasks of the whole job.
    std::uint64_t digest = 0; ///< Hash of the job's body.
    std::uint32_t runMs = 0; ///< Run time in milliseconds.
    Instant startedAt; ///< When the task was started.
    Instant longAfter = NEVER; ///< When the task counts as long.
    bool isLong = false; ///< Whether the task occupies a slot for long work.
};

/** Outcome of a task as the endpoint reported it. */
struct TaskOutcome
{
    wire::TaskState state = wire::TASK_FAILED; ///< Complete, failed, lost, or not run when the endpoint was never reached.
    Reason reason = Reason::None; ///< Why, unless complete.
    std::string payload; ///< Result bytes or an error text.
};

}
