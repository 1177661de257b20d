/** @file admission.cpp Decision whether a job is admitted to the queue of an entry. */

#include "repeatable/admission.h"

#include "core/hash_func.h"

#include <algorithm>
#include <cmath>

namespace medlarmill
{

namespace
{

constexpr double MIN_CORRECTION = 0.5; ///< Lower limit of the factor: after quiet times it must not admit far more than can be served.
constexpr double MAX_CORRECTION = 10; ///< Upper limit: a job that is expected to be ordered in a tenth of its slack is always admitted.
constexpr double DEVIATIONS = 3; ///< Added to the mean, in mean deviations: 2 lost goodput above capacity, 4 refused more below it.
constexpr double MAX_SAMPLE = 2; ///< A ratio counts for at most this multiple of the factor, so that a single outlier does little.
constexpr double SAMPLE_WEIGHT = 0.1; ///< Weight of a ratio in the moving averages.
constexpr Duration MIN_PREDICTION = Millis(5); ///< Shorter predictions are within the delay of messages and say nothing.
constexpr Duration IDLE_GRACE
    = Millis(250); ///< So long nothing may wait before the averages decay: under overload queues are empty at times.
constexpr double DECAY_TIME_US = 80'000; ///< Time constant of the decay after that: 4% are left when nothing has waited for 0.5 s.
constexpr double MIN_RETRY_SPREAD = 0.75; ///< Retry times are spread from this multiple of the drain time; capacity is free before the end.
constexpr double MAX_RETRY_SPREAD = 1.5; ///< To this multiple.
constexpr Duration MIN_RETRY_AFTER = Millis(100); ///< Minimum retry time; shorter ones would load the entry with refusals.
constexpr Duration MAX_RETRY_AFTER = Millis(5'000); ///< Maximum of the same; lost endpoints are replaced within seconds.
constexpr double MAX_WAIT_US = 3.6e9; ///< Upper limit of estimates: one hour.

/** @param workBefore work that is done before the last task of the job is ordered. */
bool isInTime(const QueuedWork &job, double workBefore, double rate, double correction, Instant now)
{
    return static_cast<double>(estimateWait(workBefore, rate).count()) * correction <= static_cast<double>((job.latestStart - now).count());
}

}

Duration estimateWait(double work, double rate)
{
    const double time = work <= 0 ? 0 : rate <= 0 ? MAX_WAIT_US : std::min(work / rate, MAX_WAIT_US);
    return Duration(static_cast<Duration::rep>(time));
}

void WaitCorrection::onWaitKnown(Duration predicted, Duration actual, Instant now)
{
    if (predicted < MIN_PREDICTION) {
        return;
    }
    decayUntil(now);
    const double ratio = static_cast<double>(actual.count()) / static_cast<double>(predicted.count());
    const double sample = std::min(ratio, MAX_SAMPLE * value(now));
    deviation_ += SAMPLE_WEIGHT * (std::abs(sample - mean_) - deviation_);
    mean_ += SAMPLE_WEIGHT * (sample - mean_);
}

void WaitCorrection::onQueueChanged(bool jobsWait, Instant now)
{
    if (jobsWait) {
        decayUntil(now);
        idleSince_ = NEVER;
    } else if (idleSince_ == NEVER) {
        idleSince_ = now;
    }
}

double WaitCorrection::value(Instant now) const
{
    const double left = evidenceLeft(now);
    return std::clamp(1 + (mean_ - 1) * left + DEVIATIONS * deviation_ * left, MIN_CORRECTION, MAX_CORRECTION);
}

double WaitCorrection::evidenceLeft(Instant now) const
{
    if (idleSince_ == NEVER || now - idleSince_ <= IDLE_GRACE) {
        return 1;
    }
    return std::exp(-static_cast<double>((now - idleSince_ - IDLE_GRACE).count()) / DECAY_TIME_US);
}

void WaitCorrection::decayUntil(Instant now)
{
    const double left = evidenceLeft(now);
    mean_ = 1 + (mean_ - 1) * left;
    deviation_ *= left;
    idleSince_ = idleSince_ == NEVER ? NEVER : std::max(idleSince_, now);
}

Duration retryDelay(Duration drain, std::string_view id)
{
    constexpr double HASH_RANGE = 18'446'744'073'709'551'616.0;
    // Limits apply before the spread, so that callers at a limit are spread, too.
    const double base = std::clamp(static_cast<double>(drain.count()), static_cast<double>(MIN_RETRY_AFTER.count()) / MIN_RETRY_SPREAD,
                                   static_cast<double>(MAX_RETRY_AFTER.count()) / MAX_RETRY_SPREAD);
    const double spread = MIN_RETRY_SPREAD + (MAX_RETRY_SPREAD - MIN_RETRY_SPREAD) * static_cast<double>(stableHash(id)) / HASH_RANGE;
    return std::clamp(Duration(static_cast<Duration::rep>(base * spread)), MIN_RETRY_AFTER, MAX_RETRY_AFTER);
}

AdmissionVerdict checkAdmission(std::span<const QueuedWork> queue, const QueuedWork &job, double rate, double correction, Instant now)
{
    AdmissionVerdict verdict;
    double workBefore = 0;
    auto next = queue.begin();
    for (; next != queue.end() && next->latestStart <= job.latestStart; ++next) {
        workBefore += next->work;
    }
    verdict.wait = estimateWait(workBefore + job.work, rate);
    if (!isInTime(job, workBefore + job.work, rate, correction, now)) {
        return verdict;
    }
    for (; next != queue.end(); ++next) {
        workBefore += next->work;
        if (isInTime(*next, workBefore, rate, correction, now) && !isInTime(*next, workBefore + job.work, rate, correction, now)) {
            return verdict;
        }
    }
    verdict.admitted = true;
    return verdict;
}

}
