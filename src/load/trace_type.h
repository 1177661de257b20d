/** @file trace_type.h A trace of jobs for the load tool, and the settings that generate it. */

#pragma once

#include "core/time_type.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace medlarmill
{

/** A range that is chosen with a weight. */
struct WeightedRange
{
    double weight = 1; ///< Relative frequency.
    double low = 0; ///< Smallest value.
    double high = 0; ///< Largest value.
};

/** Offered load in one span of time. */
struct LoadPhase
{
    double untilMs = 0; ///< End of the span since the start.
    double level = 0; ///< Offered work relative to the capacity.
};

/** Settings of a trace; read from a JSON file. */
struct TraceSettings
{
    std::uint64_t seed = 1; ///< Seed of the generator.
    std::string service = "booking-desk"; ///< Service to load.
    std::vector<std::string> kinds; ///< Request kinds, chosen evenly.
    std::vector<std::string> teams; ///< Teams, chosen evenly; the service's own when empty.
    std::uint32_t slots = 88; ///< Slots of the whole service.
    std::uint32_t deadlineMs = 10'000; ///< Deadline of each job.
    double declaredError = 0; ///< Declared run times are wrong by up to this factor either way; 0 declares none.
    std::vector<LoadPhase> phases; ///< Offered load over time.
    std::vector<WeightedRange> jobTasks; ///< Tasks of a job.
    std::vector<WeightedRange> runMs; ///< Run time of a task.
};

/** One task of a trace. */
struct TraceTask
{
    double runMs = 0; ///< True run time.
    std::uint32_t declaredMs = 0; ///< Declared run time, 0 for none.
};

/** One job of a trace. */
struct TraceJob
{
    double arrivalMs = 0; ///< Arrival since the start.
    std::string kind; ///< Request kind.
    std::string team; ///< Team, may be empty.
    std::vector<TraceTask> tasks; ///< Its tasks.
};

/** Reads settings. @param text the JSON document. @return the settings, or what is wrong. */
absl::StatusOr<TraceSettings> readTraceSettings(std::string_view text);

/** Generates a trace; the same settings give the same trace. @param settings the settings. @return the jobs by arrival. */
std::vector<TraceJob> generateTrace(const TraceSettings &settings);

/**
 * Response time of each job under one queue for all slots that knows every run time: the job with the least remaining work first, its
 * longest task first; two times the callers' latency, and no cost for messages.
 * @param trace the jobs. @param slots the slots. @param callerLatencyMs one-way latency of the callers. @return milliseconds by job.
 */
std::vector<double> idealResponses(const std::vector<TraceJob> &trace, std::uint32_t slots, double callerLatencyMs);

}
