/** @file metrics.h Distributions of measured values, and the text exposition format. */

#pragma once

#include "core/counters.h"
#include "core/histograms.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <string>
#include <string_view>

namespace medlarmill
{

/** Summary of a distribution: count, sum, largest value and estimated quantiles. */
class Summary
{
public:
    Summary();

    /** Adds a value. @param value the value. */
    void add(double value);

    /** Writes the summary. @param name metric name. @param text receives the lines. */
    void write(std::string_view name, std::string &text) const;

private:
    using Tags = boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum, boost::accumulators::tag::max,
                                            boost::accumulators::tag::extended_p_square_quantile>;
    boost::accumulators::accumulator_set<double, Tags> accumulator_;
};

/** Writes counters in the text exposition format. @param counters the counters. @param text receives the lines. */
void writeCounters(const Counters &counters, std::string &text);

/** Writes distributions by stage and kind. @param prefix begins the metric's name, before `_ms`. @param histograms the distributions.
 * @param text receives the lines. */
void writeHistograms(std::string_view prefix, const Histograms &histograms, std::string &text);

/** Writes a gauge. @param name metric name. @param value its value. @param text receives the line. */
void writeGauge(std::string_view name, double value, std::string &text);

}
