/** @file graceful_shutdown.cpp Phases of the graceful shutdown of an entry. */

#include "repeatable/graceful_shutdown.h"

namespace medlarmill
{

namespace
{

constexpr Duration LOAD_BALANCER_DELAY = Millis(2'600); ///< The load balancer removes the node after two failed checks, one per second.
constexpr Duration STOP_MARGIN = Millis(700); ///< Time reserved at the end of the grace period for writing the last answers.
constexpr Duration FLUSH_TIME = Millis(60); ///< Time between the last answer and the end of the process, so that the answer is sent.

}

ShutdownPhase GracefulShutdown::advance(Instant now, std::size_t openJobs)
{
    if (beganAt_ == NEVER) {
        return ShutdownPhase::Running;
    }
    if (flushingSince_ != NEVER) {
        return now >= flushingSince_ + FLUSH_TIME ? ShutdownPhase::Done : ShutdownPhase::Flushing;
    }
    if (now < beganAt_ + LOAD_BALANCER_DELAY) {
        return ShutdownPhase::Unready;
    }
    if (openJobs > 0 && now < beganAt_ + grace_ - STOP_MARGIN) {
        return ShutdownPhase::ClosingConnections;
    }
    flushingSince_ = now;
    return ShutdownPhase::Flushing;
}

}
