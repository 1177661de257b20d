/** @file platform_test.cpp What comes from the platform, good and bad. */

#include "daemon/bounded_log.h"
#include "net/message_hub.h"
#include "platform/deployment.h"
#include "platform/endpoint_client.h"
#include "platform/job_document.h"
#include "platform/notice_server.h"
#include "platform/route_table.h"
#include "platform/table_client.h"
#include "table/config_watcher.h"
#include "table/entry_directory.h"

#include <deque>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace
{

using namespace medlarmill;
using namespace medlarmill::platform;

constexpr char SETTINGS[]
    = "node_name=frontend-a-1\nip=10.1.0.13\nzone=a\nlisten_addrs.front=10.1.0.13:8161\n"
      "listen_addrs.readiness_addr=10.1.0.13:8167\nport_range=7720,7735\nseeds=10.1.0.13:8166,10.2.0.30:8166\n"
      "platform.address=10.200.1.7:8169\nbounds.grace_s=6\nbounds.hold_max_ms=1000\nlimits.cpu_share=0.12\nunknown.field=1\n";

constexpr char NOTICE[] = R"({"service":"s","address":"10.1.0.9:80","zone":"a","version":"v1","slots":8,"state":"ready","cold_left_ms":0,)"
                          R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1"],"clock_ms":482113,"seq_no":4,"born":17})";

/** A table whose answers a test gives. */
class AnsweredTable : public SharedTable
{
public:
    void list(const std::string & /*table*/, RowsDone done) override
    {
        reads.push_back(std::move(done));
    }
    void watch(const std::string & /*table*/, std::uint64_t since, Millis /*wait*/, RowsDone done) override
    {
        watchedSince = since;
        reads.push_back(std::move(done));
    }
    void put(const std::string & /*table*/, const std::string & /*key*/, const std::string & /*value*/, Done /*done*/) override
    { }
    void remove(const std::string & /*table*/, const std::string & /*key*/, Done /*done*/) override
    { }

    /** Answers the oldest read. @param rows the answer. */
    void answer(absl::StatusOr<SharedRows> rows)
    {
        const RowsDone done = std::move(reads.front());
        reads.pop_front();
        done(std::move(rows));
    }

    std::deque<RowsDone> reads; ///< Reads without an answer.
    std::uint64_t watchedSince = 0;
};

std::string submissionOf(const std::string &groups, const std::string &more = R"(,"best_effort":true)")
{
    return R"({"spec":"x","task_groups":)" + groups + more + "}";
}

}

TEST_CASE("settings are read, and what is wrong is named")
{
    const auto good = parseDeployment(SETTINGS);
    REQUIRE(good.ok());
    CHECK(good->linkListen == "10.1.0.13:7720");
    CHECK(good->seeds == std::vector<std::string>{"10.1.0.13:7720", "10.2.0.30:7720"});
    CHECK(good->grace == Millis(6'000));
    CHECK(good->cpuShare == 0.12);
    CHECK(good->memoryMb == 0);
    const auto limited = parseDeployment(std::string(SETTINGS) + "\nlimits.memory_mb=120\nlimits.max_fds=3075\n");
    REQUIRE(limited.ok());
    CHECK(limited->memoryMb == 120);
    CHECK(limited->maxFds == 3'075);
    const auto tooSmall = parseDeployment(std::string(SETTINGS) + "\nlimits.memory_mb=15\nlimits.max_fds=many\n");
    CHECK(tooSmall.status().message().find("limits.memory_mb=15 is no whole number from 16 to") != absl::string_view::npos);
    CHECK(tooSmall.status().message().find("limits.max_fds=many") != absl::string_view::npos);
    CHECK(good->coldExcess == 1);
    CHECK(parseDeployment(std::string(SETTINGS) + "bounds.cold_excess=1.5\n")->coldExcess == 1.5);
    CHECK_FALSE(parseDeployment(std::string(SETTINGS) + "bounds.cold_excess=0.5\n").ok());
    const auto bad = parseDeployment("node_name=x\nip=1.2.3.4\nzone=a\nport_range=1,2\nplatform.address=nowhere\nbounds.grace_s=soon\n");
    REQUIRE_FALSE(bad.ok());
    const std::string message(bad.status().message());
    CHECK(message.find("platform.address=nowhere") != std::string::npos);
    CHECK(message.find("bounds.grace_s=soon") != std::string::npos);
}

TEST_CASE("an announcement from a foreign writer names no endpoint")
{
    const auto good = decodeNotice("i-1", NOTICE);
    REQUIRE(good.ok());
    CHECK(good->capacity.cpu == 16'000);
    CHECK(good->startUnixMs == 17);
    CHECK_FALSE(good->draining);
    const std::string text = NOTICE;
    const auto with = [&text](std::string_view from, std::string_view to) {
        std::string changed = text;
        changed.replace(changed.find(from), from.size(), to);
        return changed;
    };
    CHECK_FALSE(decodeNotice("i-1", "\xff\xfe{").ok());
    CHECK_FALSE(decodeNotice("i-1", "[]").ok());
    CHECK_FALSE(decodeNotice("i-1", with("\"ready\"", "\"resting\"")).ok());
    CHECK_FALSE(decodeNotice("i-1", with("\"s\"", "7")).ok());
    CHECK_FALSE(decodeNotice("i-1", with("16000", "\"many\"")).ok());
    CHECK_FALSE(decodeNotice("i-1", with("\"seq_no\":4", "\"seq\":4")).ok());
    CHECK_FALSE(decodeNotice("i-1", with("10.1.0.9:80", "desk.example:80")).ok());
    CHECK(decodeNotice("i-1", with("\"ready\"", "\"draining\""))->draining);
    CHECK(good->coldLeft == Duration(0));
    CHECK(decodeNotice("i-1", with("cold_left_ms\":0", "cold_left_ms\":4200"))->coldLeft == Millis(4'200));
    CHECK(decodeNotice("i-1", with("cold_left_ms\":0", "cold_left_ms\":18446744073709551615"))->coldLeft == Millis(3'600'000));
    CHECK(decodeNotice("i-1", with("cold_left_ms\":0", "cold_left_ms\":-1"))->coldLeft == Duration(0));
}

TEST_CASE("submissions are decoded wholly; what is not served is named")
{
    const auto good = decodeSubmission(submissionOf(R"([{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"affinity":"r1-3"},)"
                                                    R"({"count":2,"cpu":100,"depends_on":[0],"constraints":"a","anti_affinity":1}])"));
    REQUIRE(good.ok());
    CHECK(good->unsupported.empty());
    CHECK(good->groups[0].declaredRunTime == Millis(900));
    CHECK(good->groups[1].dependencies == std::vector<std::uint32_t>{0});
    CHECK(good->groups[1].requiredLabel == "a");
    CHECK(good->groups[1].maxPerEndpoint == 1);
    CHECK(decodeSubmission(submissionOf(R"([{"count":1}])", ""))->unsupported == "kept_job");
    CHECK(decodeSubmission(submissionOf(R"([{"count":1,"gang":true}])"))->unsupported == "gang");
    CHECK(decodeSubmission(submissionOf(R"([{"count":1}])", R"(,"best_effort":true,"repeats":3)"))->unsupported == "schedule");
    CHECK_FALSE(decodeSubmission("{").ok());
    // Guards against a document that is far larger than its text: the largest usual body passes, one of very many short fields does not.
    const auto repeated = [](std::string_view group, std::size_t count) {
        std::string groups;
        for (std::size_t index = 0; index < count; ++index) {
            groups += (index == 0 ? "" : ",") + std::string(group);
        }
        return decodeSubmission(submissionOf("[" + groups + "]")).status().code();
    };
    CHECK(repeated(R"({"count":1,"cpu":3000,"mem_mb":64,"estimate_ms":20})", 5'000) == absl::StatusCode::kOk);
    CHECK(repeated(R"({"count":1})", 21'000) == absl::StatusCode::kResourceExhausted);
    CHECK(decodeSubmission(std::string(262'144, '[')).status().code() == absl::StatusCode::kResourceExhausted);
    CHECK_FALSE(decodeSubmission(submissionOf("[]")).ok());
    CHECK_FALSE(decodeSubmission(submissionOf(R"([{"count":0}])")).ok());
    CHECK_FALSE(decodeSubmission(submissionOf(R"([{"count":-1}])")).ok());
    CHECK_FALSE(decodeSubmission(submissionOf(R"([{"count":1,"depends_on":[0]}])")).ok());
    CHECK_FALSE(decodeSubmission(submissionOf(R"([{"count":1,"cpu":"much"}])")).ok());
}

TEST_CASE("the longest prefix of the host decides")
{
    const auto routes
        = decodeRoutes(R"({"version":7,"routes":[{"name":"r1","host":"h","path_prefix":"/a/","service":"s","max_attempts":4,)"
                       R"("slack_factor":1.6,"target_latency_ms":60,"timeout_ms":1500},{"name":"r2","host":"h","path_prefix":"/a/b/",)"
                       R"("service":"s"}],"limits":{"max_body_bytes":100}})");
    REQUIRE(routes.ok());
    CHECK(routes->version == 7);
    CHECK(routes->find("h", "/a/b/1")->rule.kind == "r2");
    CHECK(routes->find("h", "/a/c")->rule.kind == "r1");
    CHECK(routes->find("h", "/a/c")->rule.targetLatency == Millis(60));
    CHECK(routes->find("h", "/b/") == nullptr);
    CHECK(routes->find("other", "/a/") == nullptr);
    CHECK_FALSE(decodeRoutes("{}").ok());
    CHECK_FALSE(decodeRoutes(R"({"routes":[1]})").ok());
}

namespace
{

/** Counts what a hub forgets. */
class HubRecorder : public MessageHubEvents
{
public:
    void onLinkUp(Incarnation, const repeat::Message &, bool) override
    { }
    void onLinkDown(Incarnation, bool) override
    { }
    void onMessage(Incarnation, const repeat::Message &) override
    { }
    void onTargetForgotten(const std::string &address) override
    {
        forgotten.push_back(address);
    }
    void onFrameEnd() override
    { }

    std::vector<std::string> forgotten;
};

}

TEST_CASE("a process that is gone for good is no longer dialed")
{
    boost::asio::io_context context;
    HubRecorder recorder;
    MessageHub::Settings settings;
    settings.forgetAfter = Millis(100);
    MessageHub hub(context, settings, recorder);
    hub.setTargets({"127.0.0.1:9"});
    while (recorder.forgotten.empty()) {
        context.run_one();
    }
    CHECK(recorder.forgotten == std::vector<std::string>{"127.0.0.1:9"});
}

TEST_CASE("answers with fields of any other type are decoded without an exception")
{
    using nlohmann::json;
    const json poll = {{"clock_ms", 5},
                       {"born", 7},
                       {"reason", "room"},
                       {"active", json::array({json::array({"a.0.0.1", 1, "", 40, 3})})},
                       {"finished", json::array({json::array({1, "a.0.0.2", 1, "done", ""})})}};
    const json rows = {{"row_version", 9}, {"now_ms", 8}, {"rows", json::array({{{"key", "k"}, {"row_version", 1}, {"value", "eA=="}}})}};
    const std::vector<json> others = {nullptr, "x", -1, 1.5, 1e300, json::array(), json::array({1}), json::object(), true, UINT64_MAX};
    std::vector<std::pair<json, json>> documents;
    for (const json &document : {poll, rows}) {
        const json paths = document.flatten();
        for (const auto &[path, leaf] : paths.items()) {
            for (json::json_pointer at(path); !at.empty(); at.pop_back()) {
                for (const json &other : others) {
                    json changed = document;
                    changed[at] = other;
                    documents.emplace_back(document, changed);
                }
            }
        }
    }
    CHECK(documents.size() > 200);
    for (const auto &[document, changed] : documents) {
        CAPTURE(changed.dump());
        for (const unsigned status : {200U, 409U, 421U}) {
            ChannelResult result;
            result.response.result(status);
            result.response.body() = changed.dump();
            CHECK_NOTHROW(decodePollResult(result));
        }
        CHECK_NOTHROW(static_cast<void>(decodeRows(changed.dump())));
    }
    ChannelResult result;
    result.response.result(200);
    result.response.body() = poll.dump();
    const EndpointPollResult decoded = decodePollResult(result);
    CHECK(decoded.answer.clockMs == 5);
    CHECK(decoded.active.size() == 1);
    CHECK(decoded.finished.size() == 1);
}

TEST_CASE("a directory row of a foreign writer is no entry and ends nothing")
{
    class FixedTable : public SharedTable
    {
    public:
        void list(const std::string & /*table*/, RowsDone done) override
        {
            SharedRows rows;
            rows.clockMs = 1'000'000;
            rows.rows = {{"10.0.0.1:1", R"({"renewed_ms":"now"})"},
                         {"10.0.0.2:1", R"({"renewed_ms":-4})"},
                         {"10.0.0.3:1", "[1"},
                         {"10.0.0.4:1", R"({"renewed_ms":999000})"}};
            done(rows);
        }
        void watch(const std::string & /*table*/, std::uint64_t /*since*/, Millis /*wait*/, RowsDone /*done*/) override
        { }
        void put(const std::string & /*table*/, const std::string & /*key*/, const std::string & /*value*/, Done /*done*/) override
        { }
        void remove(const std::string & /*table*/, const std::string & /*key*/, Done /*done*/) override
        { }
    };
    boost::asio::io_context context;
    FixedTable table;
    BoundedLog log("test", 100);
    EntryDirectory directory(context, table, "", log);
    std::vector<std::string> found;
    directory.start(
        [] {
            return true;
        },
        [&found](const std::vector<std::string> &addresses) {
            found = addresses;
        });
    CHECK(found == std::vector<std::string>{"10.0.0.4:1"});
}

TEST_CASE("no bytes make a decoder fail")
{
    rc::check("decoders answer with a status", [](const std::string &text) {
        static_cast<void>(decodeNotice("i", text));
        static_cast<void>(decodeSubmission(text));
        static_cast<void>(decodeRoutes(text));
        static_cast<void>(parseDeployment(text));
    });
}

TEST_CASE("a configuration row is passed on once, and only the newest of several")
{
    boost::asio::io_context context;
    AnsweredTable table;
    BoundedLog log("test", 0);
    std::vector<std::string> documents;
    ConfigWatcher watcher(
        context, table, {"op", "config", ""}, log,
        [&documents](const std::string &text) {
            documents.push_back(text);
        },
        [](const SwitchRows &) {
            FAIL("no prefix is watched");
        });
    watcher.start();
    const SharedRow first{"config", "one", 5, false};
    table.answer(SharedRows{{first}, 7, 0, false});
    table.answer(SharedRows{{{"config", "two", 8, false}, {"config", "three", 9, false}, {"other", "x", 10, false}}, 10, 0, false});
    CHECK(documents == std::vector<std::string>{"one", "three"});
    table.answer(absl::UnavailableError("silent"));
    context.run_for(std::chrono::seconds(2));
    REQUIRE(table.reads.size() == 1);
    table.answer(SharedRows{{{"config", "three", 9, false}}, 12, 0, false});
    CHECK(documents.size() == 2);
    CHECK(table.watchedSince == 12);
}

TEST_CASE("a part of the rows is gone on from its newest row")
{
    const auto part = decodeRows(R"({"rows":[{"key":"a","value":"","row_version":4},{"key":"b","value":"","row_version":6}],)"
                                 R"("has_more":true,"row_version":20})");
    REQUIRE(part.ok());
    CHECK(part->version == 6);
    CHECK(part->isPartial);
    CHECK_FALSE(decodeRows(R"({"rows":[],"has_more":false,"row_version":20})")->isPartial);
}

TEST_CASE("rows with the watched prefix come from the same reads as the configuration; a part of the table is no whole set")
{
    boost::asio::io_context context;
    AnsweredTable table;
    BoundedLog log("test", 0);
    std::vector<std::string> documents;
    std::vector<SwitchRows> reads;
    ConfigWatcher watcher(
        context, table, {OPERATOR_TABLE, CONFIG_KEY, EVACUATION_PREFIX}, log,
        [&documents](const std::string &text) {
            documents.push_back(text);
        },
        [&reads](const SwitchRows &rows) {
            reads.push_back(rows);
        });
    using Names = absl::btree_set<std::string>;
    watcher.start();
    table.answer(SharedRows{{{"config", "one", 5, false}, {"evacuate/a", "{}", 6, false}, {"evacuate/", "{}", 6, false}}, 9, 0, false});
    REQUIRE(reads.size() == 1);
    CHECK(reads[0].isWhole);
    CHECK(reads[0].version == 9);
    CHECK(reads[0].present == Names{"a"});
    CHECK(documents.size() == 1);
    CHECK(table.reads.size() == 1);
    // Written, removed and written again within one answer: the last change of each row counts.
    table.answer(SharedRows{{{"evacuate/b", "{}", 10, false}, {"evacuate/a", "", 11, true}, {"evacuate/b", "", 12, true}}, 14, 0, false});
    CHECK_FALSE(reads[1].isWhole);
    CHECK(reads[1].present.empty());
    CHECK(reads[1].removed == Names{"a", "b"});
    CHECK(table.watchedSince == 14);
    // Nothing changed: the version rises all the same.
    table.answer(SharedRows{{}, 20, 0, false});
    CHECK(reads[2].version == 20);
    // The history is gone: the next list gives the set.
    table.answer(absl::OutOfRangeError("gone"));
    table.answer(SharedRows{{{"evacuate/c", "{}", 25, false}}, 30, 0, false});
    CHECK(reads[3].isWhole);
    CHECK(reads[3].present == Names{"c"});
    table.answer(absl::OutOfRangeError("gone"));
    table.answer(SharedRows{{{"evacuate/d", "{}", 31, false}}, 31, 0, true});
    CHECK_FALSE(reads[4].isWhole);
    CHECK(reads[4].present == Names{"d"});
}
