/** @file repeatable_job_timing.h Time limits that entries and agents must agree on, so that two runs of a task never overlap. */

#pragma once

#include "core/time_type.h"

#include <absl/status/statusor.h>

namespace medlarmill
{

/** Time limits for repeatable jobs. */
struct RepeatableJobTiming
{
    Duration lease{0}; ///< Lease of all runs at an endpoint.
    Duration entrySilence{0}; ///< An agent stops the runs of an entry that has quoted no stamp younger than this.
    Duration maxStopTime{0}; ///< Longest time that an endpoint takes to stop a run.
    Duration agentLossTimeout{0}; ///< After so long without a stamp from an entry, an agent has ended all runs of that entry.
    Duration maxLoadReportInterval{0}; ///< Longest time between load reports, which carry the stamps.
};

/** Builds the time limits from properties of the deployment. A combination in which runs could overlap, or in which a healthy entry could
 * look silent, is refused. */
class RepeatableJobTimingBuilder
{
public:
    /** @param time time after which a caller without an answer submits again. */
    RepeatableJobTimingBuilder &resubmitAfter(Duration time);

    /** @param time longest lease that endpoints grant. */
    RepeatableJobTimingBuilder &longestLease(Duration time);

    /** @param time longest time that an endpoint takes to stop a run. */
    RepeatableJobTimingBuilder &maxStopTime(Duration time);

    /** @param time longest time between load reports; by default a third of the silence limit of entries. */
    RepeatableJobTimingBuilder &maxLoadReportInterval(Duration time);

    /** @return the time limits, or which values contradict each other. */
    absl::StatusOr<RepeatableJobTiming> build() const;

private:
    Duration resubmitAfter_ = Millis(1'300);
    Duration longestLease_ = Millis(1'000);
    Duration maxStopTime_ = Millis(50);
    Duration maxLoadReportInterval_{0}; ///< 0 for the default.
};

}
