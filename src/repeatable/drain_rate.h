/** @file drain_rate.h How fast the queue of an entry gets shorter, from what was ordered while jobs waited. */

#pragma once

#include "core/time_type.h"

namespace medlarmill
{

/** Measures the work that an entry orders while it has a queue; other entries take their part of the endpoints, so capacity alone does not
 * tell. Work is in thousandths of a core times microseconds. */
class DrainRate
{
public:
    /** Work was ordered. @param work how much. */
    void addOrderedWork(double work)
    {
        orderedWork_ += work;
    }

    /** Time passed. @param now the present. @param hasQueue whether jobs wait. */
    void update(Instant now, bool hasQueue);

    /** @param work work that goes first. @param capacity thousandths of a core of all endpoints; the rate while there is no queue.
     * @return how long it takes until that work is ordered; at most an hour. */
    Duration estimateWait(double work, double capacity) const;

private:
    double orderedWork_ = 0; ///< Since the last sample.
    double rate_ = 0; ///< Work for each microsecond.
    bool hasMeasurement_ = false; ///< There has been a queue for a whole sample.
    bool queuedSinceSample_ = false; ///< There was a queue all the time since the last sample.
    Instant sampledAt_;
};

}
