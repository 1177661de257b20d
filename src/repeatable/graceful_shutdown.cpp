/** @file graceful_shutdown.cpp The phases of a planned stop of an entry. */

#include "repeatable/graceful_shutdown.h"

namespace medlarmill
{

namespace
{

constexpr Duration LOAD_BALANCER_DELAY = Millis(2'600); ///< The balancer takes a node out after two misses, one a second.
constexpr Duration STOP_MARGIN = Millis(700); ///< Time left to write the last answers before the end of the grace period.
constexpr Duration FLUSH_TIME = Millis(60); ///< Time for the last answers to leave.

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
