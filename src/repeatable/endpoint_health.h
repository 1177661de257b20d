/** @file endpoint_health.h Health of an endpoint, derived from the results of its runs. */

#pragma once

#include "core/time_type.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

namespace medlarmill
{

/**
 * Circuit breaker of one endpoint. The circuit opens when several jobs fail in a row or many recent runs have failed; the endpoint then
 * gets no work. After the open time the circuit is half-open: the endpoint gets a few runs at a time until several have completed.
 * Consecutive failures of the same job count only once, so that a job that can never succeed does not open a closed circuit.
 */
class EndpointHealth
{
public:
    /** A run completed. @param expected expected run time. @param actual measured run time. */
    void onCompletion(Duration expected, Duration actual);

    /** A run failed or stalled. @param submission its job. @param now current time. @return whether this failure opened the circuit. */
    bool onFailure(std::string_view submission, Instant now);

    /** The endpoint refused a start because it is unhealthy. @param now current time. */
    void onStartRefused(Instant now);

    /** Resets all measurements, for a new incarnation of the endpoint. */
    void reset();

    /** @param now current time. @return whether the endpoint gets no work at all. */
    bool isCircuitOpen(Instant now) const
    {
        return now < openUntil_;
    }

    /** @return whether the number of runs at a time is limited; also true while the circuit is open. */
    bool isCircuitHalfOpen() const
    {
        return halfOpenRunsLeft_ > 0;
    }

    /** @return how many runs the endpoint may have at a time; their size does not matter. */
    std::size_t runLimit() const
    {
        return isCircuitHalfOpen() ? HALF_OPEN_RUN_LIMIT : std::numeric_limits<std::size_t>::max();
    }

    /** @return moving average of measured run time divided by expected run time. */
    double slowdown() const
    {
        return slowdown_;
    }

private:
    /** A failing endpoint costs few runs, and a single long run does not hold up the others. */
    static constexpr std::size_t HALF_OPEN_RUN_LIMIT = 2;

    void openCircuit(Instant now);

    std::uint32_t failedJobs_ = 0; ///< Different jobs that failed since the last completion.
    std::string lastFailedJob_; ///< Id of the job that failed last; empty after a completion.
    double recentFailures_ = 0; ///< Failures of different jobs; decays with each completion.
    std::uint32_t halfOpenRunsLeft_ = 0; ///< Completions still needed to close the circuit; 0 when it is closed.
    std::uint32_t completions_ = 0; ///< Completions in a row.
    Instant openUntil_;
    Duration openTime_{0}; ///< How long the circuit stayed open last time; 0 to start again with the shortest time.
    double slowdown_ = 1;
};

}
