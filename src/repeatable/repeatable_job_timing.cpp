/** @file repeatable_job_timing.cpp Time limits that entries and agents must agree on. */

#include "repeatable/repeatable_job_timing.h"

#include <algorithm>
#include <fmt/format.h>

namespace medlarmill
{

namespace
{

constexpr int LEASE_PERCENT = 38; ///< Lease as a percentage of the time after which a caller submits again.
constexpr int SILENCE_PERCENT = 30; ///< Silence limit of an entry as a percentage of the same time.
constexpr int CLOCK_ERROR_PERCENT = 2; ///< By how much an endpoint's clock may be slow.
constexpr int REPORTS_PER_SILENCE = 3; ///< Load reports within the silence limit, so that one late report does no harm.
constexpr Duration CLOCK_MARGIN = Millis(60); ///< Covers slow clocks and the time between two ticks of a process.

}

RepeatableJobTimingBuilder &RepeatableJobTimingBuilder::resubmitAfter(Duration time)
{
    resubmitAfter_ = time;
    return *this;
}

RepeatableJobTimingBuilder &RepeatableJobTimingBuilder::longestLease(Duration time)
{
    longestLease_ = time;
    return *this;
}

RepeatableJobTimingBuilder &RepeatableJobTimingBuilder::maxStopTime(Duration time)
{
    maxStopTime_ = time;
    return *this;
}

RepeatableJobTimingBuilder &RepeatableJobTimingBuilder::maxLoadReportInterval(Duration time)
{
    maxLoadReportInterval_ = time;
    return *this;
}

absl::StatusOr<RepeatableJobTiming> RepeatableJobTimingBuilder::build() const
{
    RepeatableJobTiming timing;
    timing.lease = std::min(longestLease_, resubmitAfter_ * LEASE_PERCENT / 100);
    timing.entrySilence = resubmitAfter_ * SILENCE_PERCENT / 100;
    timing.maxStopTime = maxStopTime_;
    timing.agentLossTimeout = timing.entrySilence + timing.lease + maxStopTime_ + CLOCK_MARGIN;
    timing.maxLoadReportInterval = maxLoadReportInterval_.count() > 0 ? maxLoadReportInterval_ : timing.entrySilence / REPORTS_PER_SILENCE;
    const Duration orphanLifetime = timing.entrySilence + timing.lease * (100 + CLOCK_ERROR_PERCENT) / 100 + maxStopTime_;
    if (timing.lease.count() <= 0 || orphanLifetime >= resubmitAfter_) {
        return absl::InvalidArgumentError(
            fmt::format("an orphaned run may live {} ms (lease {} ms, stop time {} ms), but callers submit again after {} ms: shorten the "
                        "stop time or let callers wait longer",
                        toMillis(orphanLifetime), toMillis(timing.lease), toMillis(maxStopTime_), toMillis(resubmitAfter_)));
    }
    if (timing.maxLoadReportInterval * REPORTS_PER_SILENCE > timing.entrySilence) {
        return absl::InvalidArgumentError(
            fmt::format("load reports every {} ms are too rare for a silence limit of {} ms: the interval must be at most a third of it",
                        toMillis(timing.maxLoadReportInterval), toMillis(timing.entrySilence)));
    }
    return timing;
}

}
