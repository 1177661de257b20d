/** @file ids_type.h Strong identifier types shared by all subsystems. */

#pragma once

#include <cstdint>
#include <string>
#include <utility>

namespace medlarmill
{

/** One life of a process; 64 random bits from the system, never reused. */
enum class Incarnation : std::uint64_t {};

constexpr Incarnation INVALID_INCARNATION{0}; ///< No process has this incarnation.

/** Converts a wire value. @param value the number on the wire. @return the incarnation. */
constexpr Incarnation toIncarnation(std::uint64_t value)
{
    return static_cast<Incarnation>(value);
}

/** Converts to a wire value. @param incarnation the incarnation. @return its number. */
constexpr std::uint64_t toWire(Incarnation incarnation)
{
    return static_cast<std::uint64_t>(incarnation);
}

/** A caller's connection-scoped handle on a request that waits for its answer. */
enum class CallerToken : std::uint64_t {};

constexpr CallerToken INVALID_CALLER_TOKEN{0}; ///< No caller waits.

/** Position of a task in its job. */
enum class TaskIndex : std::uint32_t {};

/** Version of the entry roster. */
enum class RosterVersion : std::uint64_t {};

/** Version of the accepted configuration. */
enum class ConfigVersion : std::uint64_t {};

constexpr ConfigVersion INVALID_CONFIG_VERSION{0}; ///< No configuration is known yet.

using SubmissionId = std::string; ///< The idempotency key of a job, at most MAX_SUBMISSION_ID_BYTES long.

constexpr std::size_t MAX_SUBMISSION_ID_BYTES = 64; ///< Longest submission id, in bytes.

/** Names one task of one submission. */
struct TaskKey
{
    SubmissionId submission; ///< The job.
    TaskIndex index{}; ///< The task within the job.

    auto operator<=>(const TaskKey &) const = default;

    /** Hash support for absl containers. */
    template<typename H>
    friend H AbslHashValue(H state, const TaskKey &key)
    {
        return H::combine(std::move(state), key.submission, static_cast<std::uint32_t>(key.index));
    }
};

}
