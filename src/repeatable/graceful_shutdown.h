/** @file graceful_shutdown.h The phases of a planned stop of an entry. */

#pragma once

#include "core/time_type.h"

#include <cstddef>
#include <cstdint>

namespace medlarmill
{

/** Where a planned stop stands. */
enum class ShutdownPhase : std::uint8_t {
    Running, ///< No stop was asked for.
    Unready, ///< Not ready any more; the balancer still sends connections, which are served.
    ClosingConnections, ///< Answers close their connections.
    Flushing, ///< No job is taken any more; the last answers leave.
    Done, ///< The process ends.
};

/** Decides on the phases; a later phase is never left for an earlier one. */
class GracefulShutdown
{
public:
    /** @param grace time from the stop signal to the end by force. */
    explicit GracefulShutdown(Duration grace)
        : grace_(grace)
    { }

    /** A stop was asked for. @param now the present. */
    void begin(Instant now)
    {
        beganAt_ = now;
    }

    /** @return whether a stop was asked for. */
    bool hasBegun() const
    {
        return beganAt_ != NEVER;
    }

    /** Moves on. @param now the present. @param openJobs jobs without an answer. @return the phase. */
    ShutdownPhase advance(Instant now, std::size_t openJobs);

private:
    Duration grace_;
    Instant beganAt_ = NEVER;
    Instant flushingSince_ = NEVER;
};

}
