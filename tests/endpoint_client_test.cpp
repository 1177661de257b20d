/** @file endpoint_client_test.cpp Starts over real connections while the endpoint restarts at its address. */

#include "http/server.h"
#include "platform/endpoint_client.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

namespace
{

using namespace medlarmill;
using namespace medlarmill::platform;

const boost::asio::ip::tcp::endpoint ADDRESS(boost::asio::ip::make_address("127.0.0.1"), 39'817);
constexpr std::uint64_t FIRST = 1'000; ///< Start time of the first process.

/** One process of an endpoint. Its end closes its connections. */
class EndpointProcess : public HttpHandler
{
public:
    EndpointProcess(std::uint64_t startMs, int diesAt)
        : startMs_(startMs)
        , diesAt_(diesAt)
        , server_(context_, *this, HttpLimits())
    {
        REQUIRE(server_.listen(ADDRESS).ok());
    }

    void handle(HttpRequest request, HttpReply reply) override
    {
        const bool isStart = request.target() == "/medlarmill/run-start";
        starts += isStart ? 1 : 0;
        polls += isStart ? 0 : 1;
        if (++requests_ == diesAt_) {
            hasDied = true;
            return;
        }
        const nlohmann::json body
            = {{"clock_ms", 5}, {"born", startMs_}, {"active", nlohmann::json::array()}, {"finished", nlohmann::json::array()}};
        reply(jsonResponse(200, isStart ? R"({"clock_ms":5})" : body.dump()));
    }

    void advance()
    {
        context_.poll();
    }

    int starts = 0;
    int polls = 0;
    bool hasDied = false; ///< It ends before it answers.

private:
    boost::asio::io_context context_;
    std::uint64_t startMs_;
    int diesAt_;
    int requests_ = 0;
    HttpServer server_;
};

struct EndpointClientFixture
{
    /** Sends a start and waits for its result. */
    EndpointCallStatus start(std::uint64_t expectedStartMs)
    {
        EndpointCall call;
        call.address = "127.0.0.1:39817";
        call.endpointId = "i-1";
        call.expectedStartMs = expectedStartMs;
        call.timeout = Millis(500);
        std::optional<EndpointCallStatus> status;
        client.start(call, {"0123456789abcdef", 0, 0, 1}, "x", [&status](const EndpointAnswer &answer) {
            status = answer.status;
        });
        while (!status.has_value()) {
            context.run_for(std::chrono::milliseconds(1));
            context.restart();
            if (process != nullptr && process->hasDied) {
                restart();
            }
            if (process != nullptr) {
                process->advance();
            }
        }
        return *status;
    }

    void restart()
    {
        startsAtFirst += process->starts;
        process.reset();
        process = std::make_unique<EndpointProcess>(FIRST + 1, 0);
    }

    boost::asio::io_context context;
    std::unique_ptr<EndpointProcess> process;
    int startsAtFirst = 0; ///< Starts that reached the first process.
    EndpointClient client{context};
};

}

TEST_CASE_FIXTURE(EndpointClientFixture, "one poll on a new connection binds all starts on it to the process")
{
    process = std::make_unique<EndpointProcess>(FIRST, 0);
    for (int count = 0; count < 5; ++count) {
        CHECK(start(FIRST) == EndpointCallStatus::Accepted);
    }
    CHECK(process->starts == 5);
    CHECK(process->polls == 1);
}

TEST_CASE("a start for an earlier process of the endpoint is not sent to the next one")
{
    // The endpoint ends at each request of the exchange, without an answer, and starts again at its address: 1 is the poll, 2 the first
    // start and 3 a start on a connection that has been used. 0 is an end between two starts.
    for (int diesAt = 0; diesAt <= 3; ++diesAt) {
        CAPTURE(diesAt);
        EndpointClientFixture world;
        world.process = std::make_unique<EndpointProcess>(FIRST, diesAt);
        int accepted = 0;
        for (int count = 0; count < 2; ++count) {
            accepted += world.start(FIRST) == EndpointCallStatus::Accepted ? 1 : 0;
        }
        if (diesAt == 0) {
            world.restart();
        }
        CHECK(accepted == (diesAt == 0 ? 2 : std::max(diesAt - 2, 0)));
        CHECK(world.startsAtFirst == (diesAt == 0 ? 2 : diesAt - 1));
        for (int count = 0; count < 3; ++count) {
            CHECK(world.start(FIRST) == EndpointCallStatus::OtherProcess);
        }
        CHECK(world.process->starts == 0);
        CHECK(world.start(FIRST + 1) == EndpointCallStatus::Accepted);
        CHECK(world.start(FIRST + 1) == EndpointCallStatus::Accepted);
        CHECK(world.process->starts == 2);
    }
}

TEST_CASE_FIXTURE(EndpointClientFixture, "a start without a known process is sent without a poll")
{
    process = std::make_unique<EndpointProcess>(FIRST, 0);
    CHECK(start(0) == EndpointCallStatus::Accepted);
    CHECK(process->polls == 0);
}
