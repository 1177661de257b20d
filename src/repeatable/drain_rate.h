/** @file drain_rate.h Measured rate at which an entry hands queued work to agents. */

#pragma once

#include "core/time_type.h"

namespace medlarmill
{

/**
 * Exponential moving average of the work that an entry orders per unit of time while it has a queue. The capacity of the endpoints alone
 * would overestimate this rate, since other entries use the same endpoints. Work is measured in thousandths of a core times microseconds.
 */
class DrainRate
{
public:
    /** Adds work that was ordered from an agent. @param work amount of work. */
    void addOrderedWork(double work)
    {
        orderedWork_ += work;
    }

    /** Takes a sample when one is due. @param now current time. @param hasQueue whether jobs are waiting. */
    void update(Instant now, bool hasQueue);

    /** @param work queued work. @param capacity thousandths of a core of all endpoints; taken as the rate while there is no measurement.
     * @return expected time until all of that work is ordered; at most one hour. */
    Duration estimateWait(double work, double capacity) const;

private:
    double orderedWork_ = 0; ///< Work ordered since the last sample.
    double rate_ = 0; ///< Moving average of work per microsecond.
    bool hasMeasurement_ = false; ///< `rate_` holds at least one sample; reset when the queue is empty.
    bool queuedSinceSample_ = false; ///< The queue has not been empty since the last sample.
    Instant sampledAt_;
};

}
