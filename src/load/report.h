/** @file report.h Results of a load run and their summary. */

#pragma once

#include "load/trace_type.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace medlarmill
{

/** What became of one job. */
struct JobResult
{
    unsigned status = 0; ///< HTTP status, 0 when there was no answer.
    std::string kind; ///< Kind of answer.
    std::string reason; ///< Reason, empty when complete.
    double responseMs = 0; ///< Response time with the callers' latency.
    bool isWhole = false; ///< Every result is there and belongs to this job.
};

/** Summarises a run. @param settings the trace's settings. @param trace the jobs. @param ideal ideal response times. @param results what
 * became of the jobs. @return the summary. */
nlohmann::json summarise(const TraceSettings &settings, const std::vector<TraceJob> &trace, const std::vector<double> &ideal,
                         const std::vector<JobResult> &results);

/** Writes a line for each job. @param trace the jobs. @param ideal ideal response times. @param results what became of the jobs. @return
 * the CSV text. */
std::string toCsv(const std::vector<TraceJob> &trace, const std::vector<double> &ideal, const std::vector<JobResult> &results);

}
