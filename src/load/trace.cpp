/** @file trace.cpp Generates traces and computes their ideal response times. */

#include "load/trace_type.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <nlohmann/json.hpp>
#include <queue>
#include <random>
#include <set>

namespace medlarmill
{

namespace
{

using nlohmann::json;
using Random = std::mt19937_64;

double meanOf(const std::vector<WeightedRange> &ranges)
{
    double weight = 0;
    double sum = 0;
    for (const WeightedRange &range : ranges) {
        weight += range.weight;
        sum += range.weight * (range.low + range.high) / 2;
    }
    return sum / weight;
}

double draw(const std::vector<WeightedRange> &ranges, Random &random)
{
    std::vector<double> weights;
    for (const WeightedRange &range : ranges) {
        weights.push_back(range.weight);
    }
    const WeightedRange &range = ranges[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random)];
    return std::uniform_real_distribution<double>(range.low, range.high)(random);
}

std::vector<WeightedRange> readRanges(const json &document, const char *key)
{
    std::vector<WeightedRange> ranges;
    for (const json &item : document.at(key)) {
        ranges.push_back({item.at("weight").get<double>(), item.at("low").get<double>(), item.at("high").get<double>()});
    }
    if (ranges.empty()) {
        throw std::invalid_argument(fmt::format("/{} is empty", key));
    }
    return ranges;
}

TraceJob drawJob(const TraceSettings &settings, double arrivalMs, Random &random)
{
    TraceJob job;
    job.arrivalMs = arrivalMs;
    job.kind = settings.kinds[random() % settings.kinds.size()];
    job.team = settings.teams.empty() ? "" : settings.teams[random() % settings.teams.size()];
    const auto tasks = static_cast<std::size_t>(std::lround(draw(settings.jobTasks, random)));
    for (std::size_t index = 0; index < tasks; ++index) {
        TraceTask &task = job.tasks.emplace_back();
        task.runMs = std::round(draw(settings.runMs, random));
        if (settings.declaredError > 0) {
            const double exponent = std::uniform_real_distribution<double>(-1, 1)(random);
            task.declaredMs = static_cast<std::uint32_t>(std::max(1.0, task.runMs * std::pow(settings.declaredError, exponent)));
        }
    }
    return job;
}

}

absl::StatusOr<TraceSettings> readTraceSettings(std::string_view text)
{
    try {
        const json document = json::parse(text);
        TraceSettings settings;
        settings.seed = document.value("seed", settings.seed);
        settings.service = document.value("service", settings.service);
        settings.kinds = document.at("kinds").get<std::vector<std::string>>();
        settings.teams = document.value("teams", settings.teams);
        settings.slots = document.value("slots", settings.slots);
        settings.deadlineMs = document.value("deadline_ms", settings.deadlineMs);
        settings.declaredError = document.value("declared_error", settings.declaredError);
        for (const json &item : document.at("phases")) {
            settings.phases.push_back({item.at("until_ms").get<double>(), item.at("level").get<double>()});
        }
        settings.jobTasks = readRanges(document, "job_tasks");
        settings.runMs = readRanges(document, "run_ms");
        if (settings.kinds.empty() || settings.phases.empty()) {
            return absl::InvalidArgumentError("/kinds and /phases must not be empty");
        }
        return settings;
    } catch (const std::exception &error) {
        return absl::InvalidArgumentError(fmt::format("the trace settings are wrong: {}", error.what()));
    }
}

std::vector<TraceJob> generateTrace(const TraceSettings &settings)
{
    Random random(settings.seed);
    const double workPerJob = meanOf(settings.jobTasks) * meanOf(settings.runMs);
    std::vector<TraceJob> trace;
    double now = 0;
    for (const LoadPhase &phase : settings.phases) {
        const double jobsPerMs = phase.level * settings.slots / workPerJob;
        while (now < phase.untilMs) {
            if (jobsPerMs <= 0) {
                now = phase.untilMs;
                break;
            }
            const double next = now + std::exponential_distribution<double>(jobsPerMs)(random);
            if (next >= phase.untilMs) {
                now = phase.untilMs; // Poisson arrivals have no memory, so the next phase begins afresh.
                break;
            }
            now = next;
            trace.push_back(drawJob(settings, now, random));
        }
    }
    return trace;
}

std::vector<double> idealResponses(const std::vector<TraceJob> &trace, std::uint32_t slots, double callerLatencyMs)
{
    struct Remaining
    {
        double work = 0; ///< Run time of the tasks that have not started.
        std::size_t next = 0; ///< Next task, longest first.
        std::vector<double> runs; ///< Run times, longest first.
        double finish = 0; ///< End of the last task so far.
    };
    std::vector<Remaining> jobs(trace.size());
    std::set<std::pair<double, std::size_t>> waiting;
    std::priority_queue<double, std::vector<double>, std::greater<>> busyUntil;
    std::size_t arrived = 0;
    const auto arrive = [&](double now) {
        for (; arrived < trace.size() && trace[arrived].arrivalMs + callerLatencyMs <= now; ++arrived) {
            Remaining &job = jobs[arrived];
            for (const TraceTask &task : trace[arrived].tasks) {
                job.runs.push_back(task.runMs);
                job.work += task.runMs;
            }
            std::ranges::sort(job.runs, std::greater());
            waiting.emplace(job.work, arrived);
        }
    };
    double now = 0;
    while (arrived < trace.size() || !waiting.empty()) {
        if (waiting.empty()) {
            now = std::max(now, trace[arrived].arrivalMs + callerLatencyMs);
        } else if (busyUntil.size() >= slots) {
            const double nextArrival = arrived < trace.size() ? trace[arrived].arrivalMs + callerLatencyMs : busyUntil.top();
            now = std::max(now, std::min(busyUntil.top(), nextArrival));
        }
        arrive(now);
        while (!busyUntil.empty() && busyUntil.top() <= now) {
            busyUntil.pop();
        }
        while (!waiting.empty() && busyUntil.size() < slots) {
            const std::size_t index = waiting.begin()->second;
            waiting.erase(waiting.begin());
            Remaining &job = jobs[index];
            const double run = job.runs[job.next++];
            job.work -= run;
            job.finish = std::max(job.finish, now + run);
            busyUntil.push(now + run);
            if (job.next < job.runs.size()) {
                waiting.emplace(job.work, index);
            }
        }
    }
    std::vector<double> responses;
    for (std::size_t index = 0; index < trace.size(); ++index) {
        responses.push_back(jobs[index].finish + callerLatencyMs - trace[index].arrivalMs);
    }
    return responses;
}

}
