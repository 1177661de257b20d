/** @file report.cpp Summary of a load run. */

#include "load/report.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <map>

namespace medlarmill
{

namespace
{

using nlohmann::json;

constexpr double MAX_SMALL_JOB_TASKS = 10; ///< Jobs up to this size are also summarised on their own.

double quantile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0;
    }
    std::ranges::sort(values);
    const auto rank = static_cast<std::size_t>(std::ceil(part * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

json quantiles(const std::vector<double> &values)
{
    return {{"count", values.size()},
            {"p50", quantile(values, 0.5)},
            {"p90", quantile(values, 0.9)},
            {"p99", quantile(values, 0.99)},
            {"max", quantile(values, 1)}};
}

}

json summarise(const TraceSettings &settings, const std::vector<TraceJob> &trace, const std::vector<double> &ideal,
               const std::vector<JobResult> &results)
{
    std::vector<double> ratios;
    std::vector<double> smallRatios;
    std::vector<double> responses;
    std::vector<double> refusals;
    std::map<std::string, std::vector<double>> byKind;
    std::map<std::string, double> teamWork;
    std::map<std::string, std::uint64_t> answers;
    double workInDeadline = 0;
    double worstLateness = 0;
    std::uint64_t tasks = 0;
    std::uint64_t wrong = 0;
    for (std::size_t index = 0; index < trace.size(); ++index) {
        const JobResult &result = results[index];
        ++answers[result.reason.empty() ? result.kind : result.kind + "/" + result.reason];
        if (result.kind == "refused_not_run") {
            refusals.push_back(result.responseMs);
        }
        if (result.kind != "complete") {
            continue;
        }
        wrong += result.isWhole ? 0 : 1;
        tasks += trace[index].tasks.size();
        ratios.push_back(result.responseMs / ideal[index]);
        responses.push_back(result.responseMs);
        byKind[trace[index].kind].push_back(result.responseMs / ideal[index]);
        if (static_cast<double>(trace[index].tasks.size()) <= MAX_SMALL_JOB_TASKS) {
            smallRatios.push_back(ratios.back());
        }
        double work = 0;
        for (const TraceTask &task : trace[index].tasks) {
            work += task.runMs;
        }
        teamWork[trace[index].team] += work;
        workInDeadline += result.responseMs <= settings.deadlineMs ? work : 0;
        worstLateness = std::max(worstLateness, result.responseMs / settings.deadlineMs);
    }
    json kinds = json::object();
    for (const auto &[kind, values] : byKind) {
        kinds[kind] = quantiles(values);
    }
    return {{"jobs", trace.size()},
            {"tasks_complete", tasks},
            {"answers", answers},
            {"answers_wrong", wrong},
            {"response_over_ideal", quantiles(ratios)},
            {"response_over_ideal_small_jobs", quantiles(smallRatios)},
            {"response_over_ideal_by_kind", kinds},
            {"response_ms", quantiles(responses)},
            {"refusal_ms", quantiles(refusals)},
            {"work_in_deadline_ms", workInDeadline},
            {"worst_response_over_deadline", worstLateness},
            {"work_by_team_ms", teamWork}};
}

std::string toCsv(const std::vector<TraceJob> &trace, const std::vector<double> &ideal, const std::vector<JobResult> &results)
{
    std::string text = "arrival_ms,kind,team,tasks,ideal_ms,response_ms,answer,reason\n";
    for (std::size_t index = 0; index < trace.size(); ++index) {
        const TraceJob &job = trace[index];
        const JobResult &result = results[index];
        text += fmt::format("{:.3f},{},{},{},{:.3f},{:.3f},{},{}\n", job.arrivalMs, job.kind, job.team, job.tasks.size(), ideal[index],
                            result.responseMs, result.kind, result.reason);
    }
    return text;
}

}
