/** @file endpoint_health.cpp Circuit breaker of one endpoint. */

#include "repeat/endpoint_health.h"

#include <algorithm>

namespace medlarmill
{

namespace
{

constexpr std::uint32_t FAILED_JOBS_LIMIT = 2; ///< Different jobs that fail in a row before the endpoint is taken out.
constexpr Duration FIRST_PAUSE = Millis(500); ///< First pause without work.
constexpr Duration LONGEST_PAUSE = Millis(4'000); ///< Longest pause; it doubles with each failed trial.
constexpr double SLOWDOWN_WEIGHT = 0.08; ///< Weight of a new measurement; about the last dozen runs count.
constexpr double SLOWDOWN_LIMIT = 10; ///< Largest measurement taken in, so that one outlier does not dominate.

}

void EndpointHealth::onDone(Duration expected, Duration actual)
{
    failedJobs_ = 0;
    lastFailed_.clear();
    onTrial_ = false;
    pause_ = Duration(0);
    if (expected.count() > 0) {
        const double ratio = std::min(static_cast<double>(actual.count()) / static_cast<double>(expected.count()), SLOWDOWN_LIMIT);
        slowdown_ += SLOWDOWN_WEIGHT * (ratio - slowdown_);
    }
}

bool EndpointHealth::onFailure(std::string_view submission, Instant now)
{
    if (onTrial_) {
        takeOut(now);
        return true;
    }
    if (submission == lastFailed_) {
        return false;
    }
    lastFailed_ = submission;
    if (++failedJobs_ < FAILED_JOBS_LIMIT) {
        return false;
    }
    takeOut(now);
    return true;
}

void EndpointHealth::onRefusal(Instant now)
{
    takeOut(now);
}

void EndpointHealth::takeOut(Instant now)
{
    pause_ = pause_.count() == 0 ? FIRST_PAUSE : std::min(pause_ * 2, LONGEST_PAUSE);
    outUntil_ = now + pause_;
    onTrial_ = true;
}

void EndpointHealth::reset()
{
    *this = EndpointHealth();
}

}
