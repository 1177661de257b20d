/** @file histograms.cpp Distributions of durations by stage and request kind. */

#include "core/histograms.h"

#include <algorithm>
#include <chrono>

namespace medlarmill
{

namespace
{

constexpr std::size_t KINDS_LIMIT = 64; ///< Distributions kept of each stage; request kinds come and go with the configuration.
constexpr std::string_view OTHER = "other"; ///< Kind of the values beyond that limit.

}

void Histograms::add(std::string_view stage, std::string_view kind, Duration value)
{
    auto kinds = values_.find(stage);
    if (kinds == values_.end()) {
        kinds = values_.try_emplace(std::string(stage)).first;
    }
    auto found = kinds->second.find(kind);
    if (found == kinds->second.end()) {
        const std::string_view name = kinds->second.size() < KINDS_LIMIT ? kind : OTHER;
        found = kinds->second.try_emplace(std::string(name)).first;
    }
    const double ms = std::chrono::duration<double, std::milli>(value).count();
    const auto bucket = std::ranges::lower_bound(HISTOGRAM_BOUNDS_MS, ms);
    Histogram &histogram = found->second;
    ++histogram.buckets[static_cast<std::size_t>(bucket - HISTOGRAM_BOUNDS_MS.begin())];
    histogram.sumMs += ms;
    ++histogram.count;
}

}
