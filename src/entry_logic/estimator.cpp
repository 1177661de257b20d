/** @file estimator.cpp Run time estimates. */

#include "entry_logic/estimator.h"

#include <algorithm>
#include <bit>
#include <fmt/format.h>

namespace medlarmill
{

namespace
{

constexpr std::uint32_t MIN_BUCKET_SAMPLES = 8; ///< A bucket with fewer samples is not used for estimates.
constexpr std::uint32_t MEAN_WINDOW = 64; ///< Number of samples in the moving mean.
constexpr std::size_t MAX_BUCKETS = 10'000; ///< Limit of kept means; further buckets use the mean of their request kind.
constexpr Duration DEFAULT_RUN_TIME = Millis(300); ///< Estimate without any sample or declared run time.

}

std::string RunTimeEstimator::bucketKey(std::string_view service, std::string_view kind, std::uint32_t declaredMs)
{
    return fmt::format("{}\n{}\n{}", service, kind, std::bit_width(declaredMs));
}

void RunTimeEstimator::updateMean(Mean &mean, double sample)
{
    mean.samples = std::min(mean.samples + 1, MEAN_WINDOW);
    mean.value += (sample - mean.value) / mean.samples;
}

Duration RunTimeEstimator::estimate(std::string_view service, std::string_view kind, std::uint32_t declaredMs) const
{
    if (declaredMs != 0) {
        const auto bucket = means_.find(bucketKey(service, kind, declaredMs));
        if (bucket != means_.end() && bucket->second.samples >= MIN_BUCKET_SAMPLES) {
            return Duration(static_cast<std::int64_t>(bucket->second.value));
        }
    }
    const auto kindMean = means_.find(bucketKey(service, kind, 0));
    if (kindMean != means_.end()) {
        return Duration(static_cast<std::int64_t>(kindMean->second.value));
    }
    return declaredMs == 0 ? DEFAULT_RUN_TIME : Duration(Millis(declaredMs));
}

void RunTimeEstimator::recordRunTime(std::string_view service, std::string_view kind, std::uint32_t declaredMs, Duration actual)
{
    const auto sample = static_cast<double>(actual.count());
    updateMean(means_[bucketKey(service, kind, 0)], sample);
    if (declaredMs != 0 && means_.size() < MAX_BUCKETS) {
        updateMean(means_[bucketKey(service, kind, declaredMs)], sample);
    }
}

}
