/** @file endpoint_health.cpp Circuit breaker of one endpoint. */

#include "repeatable/endpoint_health.h"

#include <algorithm>

namespace medlarmill
{

namespace
{

constexpr std::uint32_t FAILED_JOBS_LIMIT = 2; ///< Different jobs that fail in a row before the endpoint is taken out.
constexpr double FAILURES_LIMIT = 2.5; ///< Recent failures that take the endpoint out: one run in five fails for long.
constexpr double FAILURES_KEPT = 0.9; ///< Share of the recent failures that is left after a completion.
constexpr std::uint32_t TRIAL_RUNS = 3; ///< Completions in a row that end a trial.
constexpr std::uint32_t SOUND_RUNS = 20; ///< Completions in a row after which earlier pauses are forgotten.
constexpr Duration FIRST_PAUSE = Millis(500); ///< First pause without work.
constexpr Duration LONGEST_PAUSE = Millis(4'000); ///< Longest pause; it doubles with each failed trial.
constexpr double SLOWDOWN_WEIGHT = 0.08; ///< Weight of a new measurement; about the last dozen runs count.
constexpr double SLOWDOWN_LIMIT = 10; ///< Largest measurement taken in, so that one outlier does not dominate.

}

void EndpointHealth::onCompletion(Duration expected, Duration actual)
{
    failedJobs_ = 0;
    lastFailed_.clear();
    recentFailures_ *= FAILURES_KEPT;
    if (trialRunsLeft_ > 0 && --trialRunsLeft_ == 0) {
        recentFailures_ = 0;
    }
    if (++completions_ >= SOUND_RUNS) {
        pause_ = Duration(0);
    }
    if (expected.count() > 0) {
        const double ratio = std::min(static_cast<double>(actual.count()) / static_cast<double>(expected.count()), SLOWDOWN_LIMIT);
        slowdown_ += SLOWDOWN_WEIGHT * (ratio - slowdown_);
    }
}

bool EndpointHealth::onFailure(std::string_view submission, Instant now)
{
    completions_ = 0;
    if (isCircuitHalfOpen()) {
        takeOut(now);
        return true;
    }
    if (submission == lastFailed_) {
        return false;
    }
    lastFailed_ = submission;
    recentFailures_ += 1;
    if (++failedJobs_ < FAILED_JOBS_LIMIT && recentFailures_ < FAILURES_LIMIT) {
        return false;
    }
    takeOut(now);
    return true;
}

void EndpointHealth::onStartRefused(Instant now)
{
    takeOut(now);
}

void EndpointHealth::takeOut(Instant now)
{
    pause_ = pause_.count() == 0 ? FIRST_PAUSE : std::min(pause_ * 2, LONGEST_PAUSE);
    outUntil_ = now + pause_;
    trialRunsLeft_ = TRIAL_RUNS;
    failedJobs_ = 0;
}

void EndpointHealth::reset()
{
    *this = EndpointHealth();
}

}
