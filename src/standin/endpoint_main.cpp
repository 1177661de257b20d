/** @file endpoint_main.cpp Stand-in for an endpoint in tests: sleeps for the asked time and keeps a journal of starts. */

#include "daemon/settings.h"
#include "http/client.h"
#include "http/server.h"
#include "net/address.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace
{

using namespace medlarmill;
using nlohmann::json;

constexpr Duration ANNOUNCE_INTERVAL = Millis(500); ///< Time between announcements to the agent.
constexpr std::uint64_t DEFAULT_RUN_MS = 50; ///< Run time when the payload names none.

/**
 * Runs tasks. The payload may be an object with run_ms (time to sleep), fail (answer status 500) and echo (returned in the result).
 * Every start is added to the journal, which GET /journal returns.
 */
class Endpoint : public HttpHandler
{
public:
    Endpoint(boost::asio::io_context &context, std::string name, std::uint32_t slots, bool failAll, double speed)
        : context_(context)
        , name_(std::move(name))
        , slots_(slots)
        , failAll_(failAll)
        , speed_(speed)
    { }

    void handle(HttpRequest request, HttpReply reply) override
    {
        const std::string target(request.target());
        if (target == "/journal") {
            reply(textResponse(200, journal_));
            return;
        }
        if (!target.starts_with("/run/")) {
            reply(jsonResponse(404, R"({"error":"no such path"})"));
            return;
        }
        if (running_ >= slots_) {
            ++overloads_;
            reply(jsonResponse(503, R"({"error":"no slot is free"})"));
            return;
        }
        run(request, std::move(reply));
    }

    std::uint64_t overloads() const
    {
        return overloads_;
    }

private:
    void run(const HttpRequest &request, HttpReply reply)
    {
        ++running_;
        const std::string id(request["X-Submission-Id"]);
        const std::string index(request["X-Task-Index"]);
        journal_ += fmt::format("{} {}\n", id, index);
        const json payload = json::parse(request.body(), nullptr, false);
        const bool isObject = payload.is_object();
        const double runMs
            = isObject && payload.contains("run_ms") && payload["run_ms"].is_number() ? payload["run_ms"].get<double>() : DEFAULT_RUN_MS;
        const bool fails = failAll_ || (isObject && payload.value("fail", false));
        json result = {{"id", id}, {"task", index}, {"endpoint", name_}};
        if (isObject && payload.contains("echo")) {
            result["echo"] = payload["echo"];
        }
        const auto wait = failAll_ ? Duration{0} : Duration(static_cast<std::int64_t>(runMs * 1000.0 / speed_));
        auto timer = std::make_shared<boost::asio::steady_timer>(context_, wait);
        timer->async_wait([this, timer, fails, text = result.dump(), reply = std::move(reply)](boost::system::error_code) {
            --running_;
            reply(fails ? jsonResponse(500, R"({"error":"the task failed"})") : jsonResponse(200, text));
        });
    }

    boost::asio::io_context &context_;
    std::string name_;
    std::uint32_t slots_;
    bool failAll_;
    double speed_;
    std::uint32_t running_ = 0;
    std::uint64_t overloads_ = 0;
    std::string journal_;
};

/** Announces the endpoint to its agent again and again. */
class Announcer
{
public:
    Announcer(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint agent, std::string document)
        : context_(context)
        , timer_(context)
        , agent_(std::move(agent))
        , document_(std::move(document))
    { }

    void announce()
    {
        startHttpCall(context_, {agent_, makeHttpRequest(boost::beast::http::verb::post, "/v1/announce", document_)},
                      [this](const HttpResult &result) {
                          const bool heard = result.progress == HttpProgress::Answered;
                          timer_.expires_after(heard ? ANNOUNCE_INTERVAL : ANNOUNCE_INTERVAL / 10);
                          timer_.async_wait([this](boost::system::error_code error) {
                              if (!error) {
                                  announce();
                              }
                          });
                      });
    }

private:
    boost::asio::io_context &context_;
    boost::asio::steady_timer timer_;
    boost::asio::ip::tcp::endpoint agent_;
    std::string document_;
};

}

int main(int argc, const char **argv)
{
    SettingsBuilder builder("standin-endpoint", "Stand-in for an endpoint, for tests only.");
    builder.add({"name", SettingType::Text, "endpoint", "Name in results"})
        .add({"listen", SettingType::Address, "", "Address for the agent", true})
        .add({"agent", SettingType::Address, "", "Address of the agent to announce to", true})
        .add({"slots", SettingType::Number, "8", "Tasks at once", false, 1, 4'096})
        .add({"fail-all", SettingType::Flag, "", "Fail every task at once"})
        .add({"slow-percent", SettingType::Number, "100", "Run times in percent of the asked ones", false, 1, 100'000});
    const SettingValues values = readSettingsOrExit(builder, argc, argv);
    boost::asio::io_context context;
    const auto slots = static_cast<std::uint32_t>(values.number("slots"));
    Endpoint endpoint(context, values.text("name"), slots, values.flag("fail-all"),
                      100.0 / static_cast<double>(values.number("slow-percent")));
    HttpServer server(context, endpoint, {});
    const absl::Status status = server.listen(*parseAddress(values.text("listen")));
    if (!status.ok()) {
        std::cerr << status.message() << '\n';
        return 1;
    }
    Announcer announcer(context, *parseAddress(values.text("agent")), json({{"address", values.text("listen")}, {"slots", slots}}).dump());
    announcer.announce();
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](boost::system::error_code, int) {
        context.stop();
    });
    context.run();
    return 0;
}
