/** @file estimator.h Run time estimates per service, request kind and declared run time. */

#pragma once

#include "core/time_type.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace medlarmill
{

/**
 * Estimates run times from those of completed tasks. A declared run time only selects a bucket (one per power of two) with its own moving
 * mean. Accurate declarations give each bucket a distinct mean; random ones give all buckets the same mean. Wrong declarations therefore
 * do not distort the estimates.
 */
class RunTimeEstimator
{
public:
    /** Estimates the run time of a task: by its bucket, then by its request kind, then as declared. @param declaredMs run time declared by
     * the caller in milliseconds, 0 when none. */
    Duration estimate(std::string_view service, std::string_view kind, std::uint32_t declaredMs) const;

    /** Adds the measured run time of a completed task. @param declaredMs as in estimate(). @param actual the measured run time. */
    void recordRunTime(std::string_view service, std::string_view kind, std::uint32_t declaredMs, Duration actual);

private:
    struct Mean
    {
        double value = 0; ///< Moving mean in microseconds.
        std::uint32_t samples = 0; ///< Number of samples, at most the window of the mean.
    };

    static std::string bucketKey(std::string_view service, std::string_view kind, std::uint32_t declaredMs);
    static void updateMean(Mean &mean, double sample);

    absl::flat_hash_map<std::string, Mean> means_;
};

}
