/** @file metrics.cpp Text exposition of counters and distributions. */

#include "daemon/metrics.h"

#include <array>
#include <fmt/format.h>

namespace medlarmill
{

namespace
{

constexpr std::array<double, 3> QUANTILES = {0.5, 0.9, 0.99};
constexpr std::string_view PREFIX = "medlarmill_";

void writeHistogram(std::string_view name, std::string_view labels, const Histogram &histogram, std::string &text)
{
    std::uint64_t below = 0;
    for (std::size_t bucket = 0; bucket < HISTOGRAM_BOUNDS_MS.size(); ++bucket) {
        below += histogram.buckets[bucket];
        text += fmt::format("{}_bucket{{{},le=\"{}\"}} {}\n", name, labels, HISTOGRAM_BOUNDS_MS[bucket], below);
    }
    text += fmt::format("{}_bucket{{{},le=\"+Inf\"}} {}\n", name, labels, histogram.count);
    text += fmt::format("{}_sum{{{}}} {:.6g}\n", name, labels, histogram.sumMs);
    text += fmt::format("{}_count{{{}}} {}\n", name, labels, histogram.count);
}

}

Summary::Summary()
    : accumulator_(boost::accumulators::extended_p_square_probabilities = QUANTILES)
{ }

void Summary::add(double value)
{
    accumulator_(value);
}

void Summary::write(std::string_view name, std::string &text) const
{
    const auto count = boost::accumulators::count(accumulator_);
    if (count >= QUANTILES.size() * 2) {
        for (const double quantile : QUANTILES) {
            const double value = boost::accumulators::quantile(accumulator_, boost::accumulators::quantile_probability = quantile);
            text += fmt::format("{}{}{{quantile=\"{}\"}} {:.6g}\n", PREFIX, name, quantile, value);
        }
    }
    text += fmt::format("{}{}_sum {:.6g}\n", PREFIX, name, boost::accumulators::sum(accumulator_));
    text += fmt::format("{}{}_count {}\n", PREFIX, name, count);
    if (count > 0) {
        text += fmt::format("{}{}_max {:.6g}\n", PREFIX, name, boost::accumulators::max(accumulator_));
    }
}

void writeCounters(const Counters &counters, std::string &text)
{
    for (const auto &[name, value] : counters.all()) {
        const std::size_t brace = name.find('{');
        const std::string labels = brace == std::string::npos ? "" : name.substr(brace);
        text += fmt::format("{}{}_total{} {}\n", PREFIX, name.substr(0, brace), labels, value);
    }
}

void writeHistograms(std::string_view prefix, const Histograms &histograms, std::string &text)
{
    for (const auto &[stage, kinds] : histograms.all()) {
        for (const auto &[kind, histogram] : kinds) {
            writeHistogram(fmt::format("{}{}_ms", PREFIX, prefix), fmt::format("stage=\"{}\",kind=\"{}\"", stage, kind), histogram, text);
        }
    }
}

void writeGauge(std::string_view name, double value, std::string &text)
{
    text += fmt::format("{}{} {:.10g}\n", PREFIX, name, value);
}

}
