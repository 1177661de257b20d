/** @file main.cpp medlarmill-load: plays a seeded trace against entries and compares response times with the ideal. */

#include "daemon/settings.h"
#include "http/client.h"
#include "load/report.h"
#include "net/address.h"

#include <boost/asio/steady_timer.hpp>
#include <fmt/core.h>
#include <fstream>
#include <iostream>
#include <iterator>

namespace
{

using namespace medlarmill;
using nlohmann::json;

constexpr double CALLER_LATENCY_MS = 3; ///< One-way latency of the callers; added to each response.
constexpr Duration PROGRESS_INTERVAL = Millis(5'000); ///< Time between progress lines.
constexpr std::uint32_t ANSWER_GRACE_MS = 30'000; ///< Time for an answer after its deadline.

/** Plays a trace. */
class Player
{
public:
    Player(const TraceSettings &settings, const std::vector<TraceJob> &trace, std::vector<boost::asio::ip::tcp::endpoint> entries,
           std::string idPrefix)
        : settings_(settings)
        , trace_(trace)
        , entries_(std::move(entries))
        , idPrefix_(std::move(idPrefix))
        , results_(trace.size())
        , timer_(context_)
        , progress_(context_)
    { }

    std::vector<JobResult> play()
    {
        start_ = ProcessClock::now();
        scheduleNext();
        reportProgress();
        context_.run();
        return std::move(results_);
    }

private:
    void scheduleNext()
    {
        if (next_ >= trace_.size()) {
            return;
        }
        const Instant due = start_ + Duration(static_cast<std::int64_t>(trace_[next_].arrivalMs * 1'000));
        timer_.expires_after(due - ProcessClock::now());
        timer_.async_wait([this](boost::system::error_code) {
            submit(next_++);
            scheduleNext();
        });
    }

    std::string bodyOf(std::size_t index) const
    {
        const TraceJob &job = trace_[index];
        json body = {{"kind", job.kind}, {"deadline_ms", settings_.deadlineMs}, {"tasks", json::array()}};
        if (!idPrefix_.empty()) {
            body["id"] = fmt::format("{}-{}", idPrefix_, index);
        }
        if (!job.team.empty()) {
            body["team"] = job.team;
        }
        for (std::size_t task = 0; task < job.tasks.size(); ++task) {
            json item = {{"payload", {{"run_ms", job.tasks[task].runMs}, {"echo", fmt::format("{}/{}", index, task)}}}};
            if (job.tasks[task].declaredMs != 0) {
                item["declared_ms"] = job.tasks[task].declaredMs;
            }
            body["tasks"].push_back(std::move(item));
        }
        return body.dump();
    }

    void submit(std::size_t index)
    {
        HttpCallRequest call{
            entries_[index % entries_.size()],
            makeHttpRequest(boost::beast::http::verb::post, fmt::format("/v1/services/{}/jobs", settings_.service), bodyOf(index))};
        call.timeout = Millis(settings_.deadlineMs + ANSWER_GRACE_MS);
        const Instant sent = ProcessClock::now();
        startHttpCall(context_, std::move(call), [this, index, sent](const HttpResult &result) {
            onResult(index, sent, result);
        });
    }

    void onResult(std::size_t index, Instant sent, const HttpResult &result)
    {
        JobResult &job = results_[index];
        job.responseMs = static_cast<double>((ProcessClock::now() - sent).count()) / 1'000 + 2 * CALLER_LATENCY_MS;
        job.status = result.status;
        const json document = json::parse(result.body, nullptr, false);
        if (!document.is_object()) {
            job.kind = "no_answer";
        } else {
            job.kind = document.value("kind", "no_answer");
            job.reason = document.value("reason", "");
            job.isWhole = isWhole(index, document);
        }
        if (++done_ == trace_.size()) {
            progress_.cancel();
        }
    }

    bool isWhole(std::size_t index, const json &document) const
    {
        const TraceJob &job = trace_[index];
        if (!document.contains("results") || document["results"].size() != job.tasks.size()) {
            return false;
        }
        for (std::size_t task = 0; task < job.tasks.size(); ++task) {
            const json &result = document["results"][task];
            if (!result.is_object() || result.value("echo", "") != fmt::format("{}/{}", index, task)) {
                return false;
            }
        }
        return true;
    }

    void reportProgress()
    {
        progress_.expires_after(PROGRESS_INTERVAL);
        progress_.async_wait([this](boost::system::error_code error) {
            if (error || done_ == trace_.size()) {
                return;
            }
            std::cerr << fmt::format("progress: {} of {} jobs submitted, {} answered\n", next_, trace_.size(), done_);
            reportProgress();
        });
    }

    const TraceSettings &settings_;
    const std::vector<TraceJob> &trace_;
    std::vector<boost::asio::ip::tcp::endpoint> entries_;
    std::string idPrefix_;
    std::vector<JobResult> results_;
    boost::asio::io_context context_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer progress_;
    Instant start_;
    std::size_t next_ = 0;
    std::size_t done_ = 0;
};

}

int main(int argc, const char **argv)
{
    SettingsBuilder builder("medlarmill-load", "Plays a seeded trace against entries: medlarmill-load [flags] SETTINGS.json");
    builder.add({"entries", SettingType::Addresses, "", "HTTP addresses of entries, used in turn", true})
        .add({"id-prefix", SettingType::Text, "", "Give each job an id with this prefix; without it entries mint ids"})
        .add({"seed", SettingType::Number, "", "Seed, instead of the file's"})
        .add({"csv", SettingType::Text, "", "Write a line for each job to this file"});
    const SettingValues values = readSettingsOrExit(builder, argc, argv);
    if (values.arguments().size() != 1) {
        std::cerr << "name one settings file; see --help\n";
        return EXIT_USAGE;
    }
    std::ifstream file(values.arguments()[0]);
    auto settings = readTraceSettings(std::string(std::istreambuf_iterator<char>(file), {}));
    if (!settings.ok()) {
        std::cerr << values.arguments()[0] << ": " << settings.status().message() << '\n';
        return EXIT_USAGE;
    }
    if (!values.text("seed").empty()) {
        settings->seed = values.number("seed");
    }
    const std::vector<TraceJob> trace = generateTrace(*settings);
    const std::vector<double> ideal = idealResponses(trace, settings->slots, CALLER_LATENCY_MS);
    const std::vector<JobResult> results
        = Player(*settings, trace, *parseAddresses(values.text("entries")), values.text("id-prefix")).play();
    if (!values.text("csv").empty()) {
        std::ofstream(values.text("csv")) << toCsv(trace, ideal, results);
    }
    json summary = summarise(*settings, trace, ideal, results);
    summary["seed"] = settings->seed;
    summary["settings"] = values.arguments()[0];
    std::cout << summary.dump(2) << '\n';
    return 0;
}
