/** @file drain_rate.cpp Measured rate at which an entry hands queued work to agents. */

#include "repeatable/drain_rate.h"

#include <algorithm>

namespace medlarmill
{

namespace
{

constexpr Duration SAMPLE_INTERVAL = Millis(50); ///< Time between samples; a few times the run time of the shortest tasks.
constexpr double SAMPLE_WEIGHT = 0.3; ///< Weight of a new sample in the moving average.
constexpr double MAX_WAIT_US = 3.6e9; ///< Upper limit of estimates: one hour.

}

void DrainRate::update(Instant now, bool hasQueue)
{
    queuedSinceSample_ = queuedSinceSample_ && hasQueue;
    if (!hasQueue) {
        hasMeasurement_ = false;
    }
    const Duration age = now - sampledAt_;
    if (age < SAMPLE_INTERVAL) {
        return;
    }
    if (queuedSinceSample_) {
        const double sample = orderedWork_ / static_cast<double>(age.count());
        rate_ = hasMeasurement_ ? rate_ + SAMPLE_WEIGHT * (sample - rate_) : sample;
        hasMeasurement_ = true;
    }
    queuedSinceSample_ = hasQueue;
    orderedWork_ = 0;
    sampledAt_ = now;
}

Duration DrainRate::estimateWait(double work, double capacity) const
{
    const double rate = hasMeasurement_ ? rate_ : capacity;
    if (work <= 0) {
        return Duration(0);
    }
    return Duration(static_cast<Duration::rep>(rate <= 0 ? MAX_WAIT_US : std::min(work / rate, MAX_WAIT_US)));
}

}
