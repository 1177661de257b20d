/** @file graceful_shutdown.h Phases of the graceful shutdown of an entry. */

#pragma once

#include "core/time_type.h"

#include <cstddef>
#include <cstdint>

namespace medlarmill
{

/** Phase of a graceful shutdown. */
enum class ShutdownPhase : std::uint8_t {
    Running, ///< No shutdown was requested.
    Unready, ///< Readiness is withdrawn; the load balancer may still send connections, which are served.
    ClosingConnections, ///< Each answer closes its connection.
    Flushing, ///< New jobs are not accepted; the last answers are sent.
    Done, ///< The process can exit.
};

/** Determines the phase from the time and the number of open jobs; it never returns to an earlier phase. */
class GracefulShutdown
{
public:
    /** @param grace time between the stop signal and forced termination. */
    explicit GracefulShutdown(Duration grace)
        : grace_(grace)
    { }

    /** The process received the stop signal. @param now current time. */
    void begin(Instant now)
    {
        beganAt_ = now;
    }

    bool hasBegun() const
    {
        return beganAt_ != NEVER;
    }

    /** To be called periodically. @param now current time. @param openJobs number of jobs without an answer. @return the phase. */
    ShutdownPhase advance(Instant now, std::size_t openJobs);

private:
    Duration grace_;
    Instant beganAt_ = NEVER;
    Instant flushingSince_ = NEVER;
};

}
