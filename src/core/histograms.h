/** @file histograms.h Distributions of durations by stage and request kind. */

#pragma once

#include "core/name_map_type.h"
#include "core/time_type.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace medlarmill
{

constexpr std::array<std::uint32_t, 12> HISTOGRAM_BOUNDS_MS
    = {1, 2, 5, 10, 20, 50, 100, 200, 500, 1'000, 2'000, 5'000}; ///< Upper bounds of the buckets; the last bucket has none.

/** One distribution. */
struct Histogram
{
    std::array<std::uint64_t, HISTOGRAM_BOUNDS_MS.size() + 1> buckets{}; ///< Values in each bucket.
    double sumMs = 0; ///< Sum of all values in milliseconds.
    std::uint64_t count = 0; ///< Number of values.
};

/** Distributions by stage and request kind; owned by one thread. */
class Histograms
{
public:
    /** Adds a value. @param stage what was timed. @param kind request kind; kinds beyond a limit are counted as `other`. @param value the
     * duration. */
    void add(std::string_view stage, std::string_view kind, Duration value);

    /** @return all distributions, by stage, then kind. */
    const NameMap<NameMap<Histogram>> &all() const
    {
        return values_;
    }

private:
    NameMap<NameMap<Histogram>> values_;
};

}
