/** @file endpoint_health.h Judges an endpoint by what its runs do. */

#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace medlarmill
{

/**
 * Circuit breaker of one endpoint. Failures of several jobs in a row, or many among its recent runs, take it out; after a pause it gets one
 * run at a time until some have completed. A job that can never succeed does not take it out by itself.
 */
class EndpointHealth
{
public:
    /** A run completed. @param expected expected run time. @param actual measured run time. */
    void onCompletion(Duration expected, Duration actual);

    /** A run failed or stood still. @param submission its job. @param now the present. @return whether the endpoint was taken out now. */
    bool onFailure(std::string_view submission, Instant now);

    /** The endpoint refused a start as unhealthy. @param now the present. */
    void onStartRefused(Instant now);

    /** Forgets everything: a new incarnation. */
    void reset();

    /** @param now the present. @return whether the endpoint gets no work at all. */
    bool isCircuitOpen(Instant now) const
    {
        return now < openUntil_;
    }

    /** @return whether the endpoint gets one run at a time. */
    bool isCircuitHalfOpen() const
    {
        return halfOpenRunsLeft_ > 0;
    }

    /** @return measured run time against expected run time; 1 is as expected. */
    double slowdown() const
    {
        return slowdown_;
    }

private:
    void openCircuit(Instant now);

    std::uint32_t failedJobs_ = 0; ///< Different jobs that failed since the last completion.
    std::string lastFailedJob_;
    double recentFailures_ = 0; ///< Failures of different jobs; each completion takes a share away.
    std::uint32_t halfOpenRunsLeft_ = 0; ///< Completions that end the trial; 0 when it is not on trial.
    std::uint32_t completions_ = 0; ///< In a row.
    Instant openUntil_;
    Duration openTime_{0};
    double slowdown_ = 1;
};

}
