/** @file http_limits_test.cpp Decisions of the HTTP server about memory, connections and slow clients, and its decoders on cut input. */

#include "http/connection_limits.h"
#include "http/http_resources.h"
#include "http/json_limits.h"
#include "http/request_progress.h"
#include "http/server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <thread>

using namespace medlarmill;

namespace
{

constexpr Instant START = Instant(Duration(1'000'000));
constexpr std::uint16_t PORT = 21'895; ///< Of the server under test.

/** A valid JSON text of some values. */
std::string anyJson(int depth)
{
    switch (*rc::gen::inRange(0, depth > 0 ? 5 : 3)) {
    case 0:
        return std::to_string(*rc::gen::arbitrary<int>());
    case 1:
        return "\"" + *rc::gen::container<std::string>(rc::gen::inRange('a', 'z')) + "\"";
    case 2:
        return "null";
    case 3: {
        std::string text = "[";
        for (int count = *rc::gen::inRange(0, 5); count > 0; --count) {
            text += anyJson(depth - 1) + (count > 1 ? "," : "");
        }
        return text + "]";
    }
    default: {
        std::string text = "{";
        for (int count = *rc::gen::inRange(0, 5); count > 0; --count) {
            text += fmt::format("\"k{}\":", count) + anyJson(depth - 1) + (count > 1 ? "," : "");
        }
        return text + "}";
    }
    }
}

std::size_t countValues(const nlohmann::json &value)
{
    std::size_t count = 1;
    if (value.is_structured()) {
        for (const auto &item : value) {
            count += countValues(item);
        }
    }
    return count;
}

/** Answers each request with the length of its body. */
class LengthHandler : public HttpHandler
{
public:
    void handle(HttpRequest request, HttpReply reply) override
    {
        reply(textResponse(200, std::to_string(request.body().size())));
    }

    std::optional<HttpResponse> checkHeader(const HttpRequestHeader &header, std::optional<std::uint64_t> /*declared*/) override
    {
        return header.target() == "/unknown" ? std::optional(textResponse(404, "")) : std::nullopt;
    }
};

/** A server on a thread of its own. */
class TestServer
{
public:
    explicit TestServer(MemoryBudgetSettings memory, ProgressLimits progress = {})
        : resources_(std::make_shared<HttpResources>(memory, ConnectionLimitSettings{8, 4}, HttpResources::LogLine()))
        , server_(context_, handler_, limitsWith(progress), resources_, {.name = "test"})
    {
        REQUIRE(server_.listen({boost::asio::ip::address_v4::loopback(), PORT}).ok());
        thread_ = std::thread([this] {
            context_.run();
        });
    }

    ~TestServer()
    {
        context_.stop();
        thread_.join();
    }

    TestServer(const TestServer &) = delete;
    TestServer &operator=(const TestServer &) = delete;

    /** Sends pieces, each in a packet of its own, and reads until the server closes. */
    static std::string exchange(const std::vector<std::string> &pieces)
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        socket.connect({boost::asio::ip::address_v4::loopback(), PORT});
        socket.set_option(boost::asio::ip::tcp::no_delay(true));
        boost::system::error_code error;
        for (const std::string &piece : pieces) {
            boost::asio::write(socket, boost::asio::buffer(piece), error);
        }
        std::string answer;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
        return answer;
    }

private:
    static HttpLimits limitsWith(const ProgressLimits &progress)
    {
        HttpLimits limits;
        limits.maxBodyBytes = 262'144;
        limits.progress = progress;
        return limits;
    }

    boost::asio::io_context context_{1};
    LengthHandler handler_;
    std::shared_ptr<HttpResources> resources_;
    HttpServer server_;
    std::thread thread_;
};

std::vector<std::string> cutAnywhere(const std::string &text)
{
    std::vector<std::string> pieces;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t length = *rc::gen::inRange<std::size_t>(1, 1 + text.size());
        pieces.push_back(text.substr(at, length));
        at += length;
    }
    return pieces;
}

}

// Guards against charges that are lost or counted twice, and against ordinary requests in the reserve.
TEST_CASE("memory budget")
{
    MemoryBudget budget({1'000, 200});
    const PortId callers = budget.addPort("callers", PortClass::Ordinary, 1);
    const PortId ready = budget.addPort("ready", PortClass::Reserved, 0.1);
    CHECK(budget.tryCharge(callers, 800));
    CHECK(!budget.tryCharge(callers, 1));
    CHECK(budget.tryCharge(ready, 100));
    CHECK(!budget.tryCharge(ready, 1)); // Its share.
    CHECK(!budget.couldEverHold(callers, 801));
    CHECK(budget.couldEverHold(callers, 800));
    budget.charge(callers, 500); // A ready answer goes beyond the limit and keeps newcomers out.
    CHECK(!budget.tryCharge(callers, 0 + 1));
    budget.release(callers, 1'300);
    CHECK(budget.used() == 100);
    {
        MemoryCharge charge(budget, callers);
        CHECK(charge.tryRaise(700));
        CHECK(!charge.tryRaise(801));
        CHECK(charge.bytes() == 700);
        charge.set(10);
        CHECK(budget.used() == 110);
    }
    CHECK(budget.used() == 100);
    CHECK(rc::check("the sum of charges stays within the limits and ends at 0", [] {
        MemoryBudget random({1'000, 100});
        const PortId one = random.addPort("one", PortClass::Ordinary, 1);
        const PortId two = random.addPort("two", PortClass::Reserved, 0.05);
        std::vector<std::pair<PortId, std::uint64_t>> held;
        for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(-3, 400))) {
            const PortId port = step % 2 == 0 ? one : two;
            if (step >= 0 && random.tryCharge(port, static_cast<std::uint64_t>(step))) {
                held.emplace_back(port, step);
            } else if (!held.empty()) {
                random.release(held.back().first, held.back().second);
                held.pop_back();
            }
            RC_ASSERT(random.used() <= 1'000U);
            RC_ASSERT(random.usedBy(one) <= 900U);
            RC_ASSERT(random.usedBy(two) <= 50U);
        }
        for (const auto &[port, bytes] : held) {
            random.release(port, bytes);
        }
        RC_ASSERT(random.used() == 0U);
    }));
}

// Guards against a newcomer that replaces a caller who waits for an answer.
TEST_CASE("connections give way")
{
    ConnectionLimits limits({4, 1});
    const auto add = [&limits](int id, std::uint64_t client, int second) {
        limits.add(ConnectionId(id), PortClass::Ordinary, client, START + Millis(second * 1'000));
    };
    add(1, 1, 0);
    add(2, 2, 1);
    add(3, 3, 2);
    add(4, 4, 3);
    const Instant now = START + Millis(10'000);
    CHECK(!limits.hasRoom(PortClass::Ordinary));
    CHECK(limits.hasRoom(PortClass::Reserved));
    CHECK(limits.chooseForNewcomer(PortClass::Ordinary, now) == ConnectionId(1));
    limits.setState(ConnectionId(1), ConnectionState::Waiting, START);
    CHECK(limits.chooseForNewcomer(PortClass::Ordinary, now) == ConnectionId(2));
    limits.setState(ConnectionId(2), ConnectionState::Sending, START);
    limits.setState(ConnectionId(3), ConnectionState::Receiving, START);
    CHECK(limits.chooseForNewcomer(PortClass::Ordinary, now) == ConnectionId(4)); // Idle goes before stalled.
    CHECK(limits.chooseStalled(PortClass::Ordinary, now) == ConnectionId(3));
    limits.onProgress(ConnectionId(3), now);
    CHECK(!limits.chooseStalled(PortClass::Ordinary, now).has_value()); // It makes progress.
    limits.setState(ConnectionId(4), ConnectionState::Waiting, START);
    CHECK(!limits.chooseForNewcomer(PortClass::Ordinary, now).has_value());
    limits.remove(ConnectionId(1));
    limits.remove(ConnectionId(1));
    CHECK(limits.count(PortClass::Ordinary) == 3);
}

// Guards against one address that keeps the connections of all others away.
TEST_CASE("a client with more than half of the connections gives way first")
{
    ConnectionLimits limits({4, 1});
    limits.add(ConnectionId(1), PortClass::Ordinary, 7, START);
    for (int id = 2; id <= 4; ++id) {
        limits.add(ConnectionId(id), PortClass::Ordinary, 9, START + Millis(id));
    }
    CHECK(limits.chooseForNewcomer(PortClass::Ordinary, START + Millis(5'000)) == ConnectionId(2));
}

TEST_CASE("numbers of connections leave descriptors for the process")
{
    for (const std::size_t descriptors : {64, 160, 3'075, 8'192}) {
        const ConnectionLimitSettings settings = connectionLimitsFor(descriptors);
        CHECK(settings.ordinary + settings.reserved + 32 <= descriptors);
        CHECK(settings.ordinary > 0);
    }
}

// Guards against a client that stays by sending a byte now and then.
TEST_CASE("progress of a request")
{
    RequestProgress progress({Millis(15'000), Millis(10'000), Millis(5'000), 1'000});
    progress.beginIdle(START);
    CHECK(progress.deadline() == START + Millis(15'000));
    progress.onHeaderBytes(START + Millis(2'000));
    progress.onHeaderBytes(START + Millis(9'000));
    CHECK(progress.deadline() == START + Millis(12'000));
    progress.beginBody(START + Millis(10'000));
    CHECK(progress.deadline() == START + Millis(15'000));
    progress.onBodyBytes(4'000, START + Millis(11'000));
    CHECK(progress.deadline() == START + Millis(19'000));
    progress.onBodyBytes(0, START + Millis(12'000));
    CHECK(progress.lastProgress() == START + Millis(11'000));
    CHECK(progress.answerDeadline(2'000, START) == START + Millis(7'000));
}

// Guards against documents that are far larger than their text.
TEST_CASE("JSON limits")
{
    CHECK(checkJson(R"({"a":[1,2,{"b":null}]})", {}).ok());
    CHECK(checkJson("[1,2,3]", {100, 4, 8}).ok());
    CHECK(checkJson("[1,2,3]", {100, 3, 8}).code() == absl::StatusCode::kResourceExhausted);
    CHECK(checkJson("[1,2,3]", {6, 9, 8}).code() == absl::StatusCode::kResourceExhausted);
    CHECK(checkJson("[[[1]]]", {100, 9, 2}).code() == absl::StatusCode::kResourceExhausted);
    CHECK(checkJson(std::string(262'144, '['), {}).code() == absl::StatusCode::kResourceExhausted);
    CHECK(checkJson("[1,", {}).code() == absl::StatusCode::kInvalidArgument);
    CHECK(checkJson("", {}).code() == absl::StatusCode::kInvalidArgument);
    CHECK(rc::check("a valid document passes with as many values as it has, not with fewer, and not when cut", [] {
        const std::string text = anyJson(3);
        const std::size_t values = countValues(nlohmann::json::parse(text));
        RC_ASSERT(checkJson(text, {text.size(), values, 8}).ok());
        RC_ASSERT(!checkJson(text, {text.size(), values - 1, 8}).ok());
        const std::string cut = text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size()));
        RC_ASSERT(checkJson(cut, {}).ok() == nlohmann::json::accept(cut));
    }));
}

// Guards against a decoder that loses bytes where packets end, in headers, bodies and chunk framing.
TEST_CASE("requests cut anywhere")
{
    const TestServer server({8U << 20U, 0});
    CHECK(rc::check("requests cut anywhere", [] {
        std::string sent;
        std::vector<std::string> expected;
        const int requests = *rc::gen::inRange(1, 4);
        for (int number = 0; number < requests; ++number) {
            const bool isLast = number + 1 == requests;
            const std::string head = fmt::format("POST /x HTTP/1.1\r\nHost: h\r\n{}", isLast ? "Connection: close\r\n" : "");
            const auto length = *rc::gen::inRange<std::size_t>(0, 6'000);
            const std::string body(length, 'b');
            expected.push_back(std::to_string(length));
            if (*rc::gen::arbitrary<bool>()) {
                sent += head + fmt::format("Content-Length: {}\r\n\r\n", length) + body;
                continue;
            }
            sent += head + "Transfer-Encoding: chunked\r\n\r\n";
            for (std::size_t at = 0; at < length;) {
                const std::size_t size = std::min(length - at, *rc::gen::inRange<std::size_t>(1, 3'000));
                sent += fmt::format("{:x}\r\n", size) + body.substr(at, size) + "\r\n";
                at += size;
            }
            sent += "0\r\n\r\n";
        }
        const std::string answers = TestServer::exchange(cutAnywhere(sent));
        std::size_t at = 0;
        for (const std::string &length : expected) {
            at = answers.find("\r\n\r\n" + length, at);
            RC_ASSERT(at != std::string::npos);
            at += 4;
        }
    }));
}

TEST_CASE("refusals before the body")
{
    const TestServer server({1U << 20U, 0});
    const auto status = [](const std::string &request) {
        return TestServer::exchange({request}).substr(9, 3);
    };
    CHECK(status("POST /unknown HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n") == "404");
    CHECK(status("POST /unknown HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n") == "404");
    CHECK(status("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n") == "413");
    CHECK(status("POST /x HTTP/1.1\r\nHost: h\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n") == "431");
    CHECK(status("POST /x HTTP/1.1\r\nHost: h\r\n" + std::string(129 * 4, 'a') + "\r\n\r\n") == "400");
    std::string fields;
    for (int field = 0; field < 129; ++field) {
        fields += "a:\r\n";
    }
    CHECK(status("POST /x HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n") == "431");
    CHECK(TestServer::exchange({"POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: 0\r\n\r\n"})
              .starts_with("HTTP/1.1 200"));
}

// Guards against slow clients that keep their place.
TEST_CASE("slow clients")
{
    const TestServer server({600'000, 0}, {Millis(500), Millis(500), Millis(100), 100'000});
    CHECK(TestServer::exchange({"POST /x HTTP/1.1\r\n"}).empty());
    CHECK(TestServer::exchange({"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\nabc"}).empty());
}

// Guards against a request that is read although there is no memory for it, and against a refusal that gives no time to retry.
TEST_CASE("full memory")
{
    const TestServer server({600'000, 0});
    boost::asio::io_context context;
    std::vector<boost::asio::ip::tcp::socket> holders;
    for (int count = 0; count < 2; ++count) {
        holders.emplace_back(context).connect({boost::asio::ip::address_v4::loopback(), PORT});
        const std::string part = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 262144\r\n\r\n" + std::string(200'000, 'x');
        boost::asio::write(holders.back(), boost::asio::buffer(part));
    }
    const std::string answer = TestServer::exchange({"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"});
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Retry-After: 1") != std::string::npos);
}
