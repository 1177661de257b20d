/** @file planned_stop.cpp The phases of a planned stop of an entry. */

#include "repeatable/planned_stop.h"

namespace medlarmill
{

namespace
{

constexpr Duration ROTATION_TIME = Millis(2'600); ///< The balancer takes a node out after two misses, one a second.
constexpr Duration STOP_MARGIN = Millis(700); ///< Time left to write the last answers before the end of the grace period.
constexpr Duration FLUSH_TIME = Millis(60); ///< Time for the last answers to leave.

}

StopPhase PlannedStop::advance(Instant now, std::size_t openJobs)
{
    if (begunAt_ == NEVER) {
        return StopPhase::Running;
    }
    if (finishedAt_ != NEVER) {
        return now >= finishedAt_ + FLUSH_TIME ? StopPhase::Over : StopPhase::Finished;
    }
    if (now < begunAt_ + ROTATION_TIME) {
        return StopPhase::Rotating;
    }
    if (openJobs > 0 && now < begunAt_ + grace_ - STOP_MARGIN) {
        return StopPhase::Closing;
    }
    finishedAt_ = now;
    return StopPhase::Finished;
}

}
