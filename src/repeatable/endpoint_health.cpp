/** @file endpoint_health.cpp Circuit breaker of one endpoint. */

#include "repeatable/endpoint_health.h"

#include <algorithm>

namespace medlarmill
{

namespace
{

constexpr std::uint32_t FAILED_JOBS_LIMIT = 2; ///< Different jobs that fail in a row before the circuit opens.
constexpr double RECENT_FAILURES_LIMIT = 2.5; ///< Recent failures that open the circuit; reached when one run in five fails for some time.
constexpr double FAILURE_DECAY = 0.9; ///< Factor by which a completion reduces the recent failures.
constexpr std::uint32_t HALF_OPEN_RUNS = 3; ///< Completions in a row that close a half-open circuit.
constexpr std::uint32_t RUNS_TO_RESET_OPEN_TIME = 20; ///< Completions in a row after which the open time starts at its first value again.
constexpr Duration FIRST_OPEN_TIME = Millis(500); ///< Time that the circuit stays open when it opens for the first time.
constexpr Duration MAX_OPEN_TIME = Millis(4'000); ///< Upper limit of the open time, which doubles each time the circuit opens.
constexpr double SLOWDOWN_WEIGHT = 0.08; ///< Weight of a new measurement in the moving average, which covers about the last dozen runs.
constexpr double MAX_SLOWDOWN_SAMPLE = 10; ///< Upper limit of a measurement, so that one outlier does not dominate the average.

}

void EndpointHealth::onCompletion(Duration expected, Duration actual)
{
    failedJobs_ = 0;
    lastFailedJob_.clear();
    recentFailures_ *= FAILURE_DECAY;
    if (halfOpenRunsLeft_ > 0 && --halfOpenRunsLeft_ == 0) {
        recentFailures_ = 0;
    }
    if (++completions_ >= RUNS_TO_RESET_OPEN_TIME) {
        openTime_ = Duration(0);
    }
    if (expected.count() > 0) {
        const double ratio = std::min(static_cast<double>(actual.count()) / static_cast<double>(expected.count()), MAX_SLOWDOWN_SAMPLE);
        slowdown_ += SLOWDOWN_WEIGHT * (ratio - slowdown_);
    }
}

bool EndpointHealth::onFailure(std::string_view submission, Instant now)
{
    completions_ = 0;
    if (isCircuitHalfOpen()) {
        openCircuit(now);
        return true;
    }
    if (submission == lastFailedJob_) {
        return false;
    }
    lastFailedJob_ = submission;
    recentFailures_ += 1;
    if (++failedJobs_ < FAILED_JOBS_LIMIT && recentFailures_ < RECENT_FAILURES_LIMIT) {
        return false;
    }
    openCircuit(now);
    return true;
}

void EndpointHealth::onStartRefused(Instant now)
{
    openCircuit(now);
}

void EndpointHealth::openCircuit(Instant now)
{
    openTime_ = openTime_.count() == 0 ? FIRST_OPEN_TIME : std::min(openTime_ * 2, MAX_OPEN_TIME);
    openUntil_ = now + openTime_;
    halfOpenRunsLeft_ = HALF_OPEN_RUNS;
    failedJobs_ = 0;
}

void EndpointHealth::reset()
{
    *this = EndpointHealth();
}

}
