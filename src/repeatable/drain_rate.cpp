/** @file drain_rate.cpp How fast the queue of an entry gets shorter. */

#include "repeatable/drain_rate.h"

#include <algorithm>

namespace medlarmill
{

namespace
{

constexpr Duration SAMPLE = Millis(50); ///< Time between samples; a few run times of the shortest tasks.
constexpr double SAMPLE_WEIGHT = 0.3; ///< Weight of a new sample.
constexpr double LONGEST_WAIT_US = 3.6e9; ///< One hour.

}

void DrainRate::update(Instant now, bool queued)
{
    queued_ = queued_ && queued;
    if (!queued) {
        measured_ = false;
    }
    const Duration age = now - sampledAt_;
    if (age < SAMPLE) {
        return;
    }
    if (queued_) {
        const double sample = ordered_ / static_cast<double>(age.count());
        rate_ = measured_ ? rate_ + SAMPLE_WEIGHT * (sample - rate_) : sample;
        measured_ = true;
    }
    queued_ = queued;
    ordered_ = 0;
    sampledAt_ = now;
}

Duration DrainRate::estimateWait(double work, double capacity) const
{
    const double rate = measured_ ? rate_ : capacity;
    if (work <= 0) {
        return Duration(0);
    }
    return Duration(static_cast<Duration::rep>(rate <= 0 ? LONGEST_WAIT_US : std::min(work / rate, LONGEST_WAIT_US)));
}

}
