/** @file admission.cpp Decision whether a job is admitted to the queue of an entry. */

#include "repeatable/admission.h"

#include "core/hash_func.h"

#include <algorithm>

namespace medlarmill
{

namespace
{

constexpr double LATE_FACTOR = 0.5; ///< A job that is ordered late multiplies the slack share by this.
constexpr double IN_TIME_GAIN = 0.002; ///< A job that is ordered in time adds this.
constexpr double MIN_SLACK_SHARE = 0.2; ///< Lower limit of the slack share.
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

void SlackShare::onJobOrdered(bool inTime)
{
    value_ = inTime ? std::min(1.0, value_ + IN_TIME_GAIN) : std::max(MIN_SLACK_SHARE, value_ * LATE_FACTOR);
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
