/** @file platform_main.cpp Stand-in for the platform in tests: table and object store in memory, with knobs for faults. */

#include "core/time_type.h"
#include "daemon/settings.h"
#include "daemon/stop_signal.h"
#include "http/server.h"
#include "net/address.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

namespace
{

using namespace medlarmill;
using nlohmann::json;

constexpr std::string_view TABLE_PREFIX = "/table/";
constexpr std::string_view OBJECT_PREFIX = "/objects/";

/** Faults of the platform, set by PUT /faults. */
struct Faults
{
    bool outage = false; ///< No request is answered.
    std::uint64_t delayMs = 0; ///< Every answer comes so late.
    std::uint64_t loseReplies = 0; ///< So many commits take effect without a reply.
};

struct Row
{
    std::uint64_t version = 0; ///< Grows with each write.
    std::string value; ///< Content.
};

class Platform : public HttpHandler
{
public:
    explicit Platform(boost::asio::io_context &context)
        : context_(context)
    { }

    void handle(HttpRequest request, HttpReply reply) override
    {
        const std::string target(request.target());
        if (target == "/faults") {
            setFaults(request.body());
            reply(jsonResponse(200, R"({"result":"ok"})"));
            return;
        }
        if (target == "/statistics") {
            reply(jsonResponse(200, json({{"reads", reads_}, {"writes", writes_}}).dump()));
            return;
        }
        if (faults_.outage) {
            lost_.push_back(std::move(reply));
            return;
        }
        HttpResponse response = serve(target, request);
        if (target == "/table-transactions" && response.result_int() == 200 && faults_.loseReplies > 0) {
            --faults_.loseReplies;
            lost_.push_back(std::move(reply));
            return;
        }
        answerLater(std::move(response), std::move(reply));
    }

private:
    void setFaults(const std::string &body)
    {
        const json document = json::parse(body, nullptr, false);
        if (!document.is_object()) {
            return;
        }
        faults_.outage = document.value("outage", faults_.outage);
        faults_.delayMs = document.value("delay_ms", faults_.delayMs);
        faults_.loseReplies = document.value("lose_replies", faults_.loseReplies);
        if (!faults_.outage) {
            lost_.clear();
        }
    }

    void answerLater(HttpResponse response, HttpReply reply)
    {
        if (faults_.delayMs == 0) {
            reply(std::move(response));
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(context_, Millis(faults_.delayMs));
        auto shared = std::make_shared<HttpResponse>(std::move(response));
        timer->async_wait([timer, shared, reply = std::move(reply)](boost::system::error_code) {
            reply(std::move(*shared));
        });
    }

    HttpResponse serve(std::string_view target, const HttpRequest &request)
    {
        if (target == "/table-transactions") {
            return commit(request.body());
        }
        if (target.starts_with(TABLE_PREFIX)) {
            ++reads_;
            const auto row = rows_.find(target.substr(TABLE_PREFIX.size()));
            if (row == rows_.end()) {
                return jsonResponse(404, R"({"error":"no such row"})");
            }
            return jsonResponse(200, json({{"version", row->second.version}, {"value", row->second.value}}).dump());
        }
        if (target.starts_with(OBJECT_PREFIX)) {
            std::string &object = objects_[std::string(target.substr(OBJECT_PREFIX.size()))];
            if (request.method() == boost::beast::http::verb::put) {
                ++writes_;
                object = request.body();
            }
            return textResponse(200, object);
        }
        return jsonResponse(404, R"({"error":"no such path"})");
    }

    HttpResponse commit(const std::string &body)
    {
        const json document = json::parse(body, nullptr, false);
        if (!document.is_object()) {
            return jsonResponse(400, R"({"error":"not a transaction"})");
        }
        for (const json &check : document["checks"]) {
            const auto row = rows_.find(check["key"].get<std::string>());
            const std::uint64_t version = row == rows_.end() ? 0 : row->second.version;
            if (version != check["version"].get<std::uint64_t>()) {
                return jsonResponse(409, R"({"error":"conflict"})");
            }
        }
        for (const json &write : document["writes"]) {
            Row &row = rows_[write["key"].get<std::string>()];
            ++row.version;
            row.value = write["value"].get<std::string>();
            ++writes_;
        }
        return jsonResponse(200, R"({"result":"committed"})");
    }

    boost::asio::io_context &context_;
    std::map<std::string, Row, std::less<>> rows_;
    std::map<std::string, std::string, std::less<>> objects_;
    Faults faults_;
    std::vector<HttpReply> lost_;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
};

}

int main(int argc, const char **argv)
{
    SettingsBuilder builder("standin-platform", "Stand-in for the platform's table and object store, for tests only.");
    builder.add({"listen", SettingType::Address, "", "Address to serve", true});
    const SettingValues values = readSettingsOrExit(builder, argc, argv);
    boost::asio::io_context context;
    Platform platform(context);
    HttpServer server(context, platform, {});
    const absl::Status status = server.listen(*parseAddress(values.text("listen")));
    if (!status.ok()) {
        std::cerr << status.message() << '\n';
        return 1;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](boost::system::error_code, int) {
        context.stop();
    });
    context.run();
    return 0;
}
