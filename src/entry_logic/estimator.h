/** @file estimator.h Learned run times per service, request kind and declared size. */

#pragma once

#include "core/time_type.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace medlarmill
{

/**
 * Learns run times from finished tasks. Declared run times only choose a bucket (powers of two): when they are right, each
 * bucket has its own mean; when they are noise, all buckets learn the same mean. So a wrong declaration does no harm.
 */
class RunTimeEstimator
{
public:
    /** Expected run time. @param service the service. @param kind the request kind. @param declaredMs declared milliseconds, 0 when none.
     * @return the estimate. */
    Duration estimate(std::string_view service, std::string_view kind, std::uint32_t declaredMs) const;

    /** Learns from a finished task. @param service the service. @param kind the request kind. @param declaredMs declared milliseconds.
     * @param actual its run time.
     */
    void recordRunTime(std::string_view service, std::string_view kind, std::uint32_t declaredMs, Duration actual);

private:
    struct Mean
    {
        double value = 0; ///< Moving mean in microseconds.
        std::uint32_t samples = 0; ///< Samples, saturating.
    };

    static std::string bucketKey(std::string_view service, std::string_view kind, std::uint32_t declaredMs);
    static void updateMean(Mean &mean, double sample);

    absl::flat_hash_map<std::string, Mean> means_;
};

}
