/** @file graceful_shutdown.cpp The phases of a planned stop of an entry. */

#include "repeatable/graceful_shutdown.h"

namespace medlarmill
{

namespace
{

constexpr Duration ROTATION_TIME = Millis(2'600); ///< The balancer takes a node out after two misses, one a second.
constexpr Duration STOP_MARGIN = Millis(700); ///< Time left to write the last answers before the end of the grace period.
constexpr Duration FLUSH_TIME = Millis(60); ///< Time for the last answers to leave.

}

ShutdownPhase GracefulShutdown::advance(Instant now, std::size_t openJobs)
{
    if (begunAt_ == NEVER) {
        return ShutdownPhase::Running;
    }
    if (finishedAt_ != NEVER) {
        return now >= finishedAt_ + FLUSH_TIME ? ShutdownPhase::Done : ShutdownPhase::Flushing;
    }
    if (now < begunAt_ + ROTATION_TIME) {
        return ShutdownPhase::Unready;
    }
    if (openJobs > 0 && now < begunAt_ + grace_ - STOP_MARGIN) {
        return ShutdownPhase::ClosingConnections;
    }
    finishedAt_ = now;
    return ShutdownPhase::Flushing;
}

}
