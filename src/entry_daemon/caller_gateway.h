/** @file caller_gateway.h The entry's thread for callers: HTTP in, answers out. */

#pragma once

#include "http/server.h"
#include "net/doorbell.h"
#include "net/ring.h"
#include "wire/generated/medlarmill.pb.h"

#include "core/ids_type.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>
#include <thread>

namespace medlarmill
{

/** What a caller wants. */
enum class CallerRequestKind : std::uint8_t {
    Submit, ///< Run a job.
    Fetch, ///< Read an answer.
    Cancel, ///< Cancel a job.
    Ready, ///< Readiness.
    Metrics, ///< Counters.
    Status, ///< State for operators.
    ConfigText, ///< The configuration in force.
};

/** Request from the gateway to the decision thread. */
struct CallerRequest
{
    CallerRequestKind kind = CallerRequestKind::Submit; ///< What is wanted.
    CallerToken caller = INVALID_CALLER_TOKEN; ///< Handle for the reply.
    wire::Job job; ///< The body; for reads and cancels only the id.
};

/** Reply from the decision thread to the gateway. */
struct CallerReply
{
    CallerToken caller = INVALID_CALLER_TOKEN; ///< Handle of the request.
    wire::Answer answer; ///< For Submit, Fetch and Cancel.
    unsigned status = 0; ///< HTTP status of `text`; 0 when `answer` counts.
    std::string text; ///< Body of the other kinds.
    bool isJson = false; ///< Whether `text` is JSON.
};

/** Serves callers over HTTP. */
class CallerGateway : public HttpHandler
{
public:
    /** @param limits limits of the HTTP server. @param maxWaiting callers that may wait for an answer. @param reader doorbell of the
     * decision thread. */
    CallerGateway(HttpLimits limits, std::size_t maxWaiting, Doorbell &reader);
    ~CallerGateway() override;

    /** Listens and starts the thread. @param address where. @return why it failed. */
    absl::Status start(const boost::asio::ip::tcp::endpoint &address);

    /** Stops the thread after the queued replies were written. */
    void stop();

    /** @return the oldest request, or nullptr. Called by the decision thread only. */
    std::unique_ptr<CallerRequest> nextRequest()
    {
        return requests_.tryPop();
    }

    /** Queues a reply. @param reply the reply. The ring has room for every waiting caller. Called by the decision thread only. */
    void reply(std::unique_ptr<CallerReply> reply)
    {
        replies_.tryPush(reply);
    }

    /** @return requests refused because the ring or the table of waiting callers was full. */
    std::uint64_t refused() const
    {
        return refused_.load();
    }

    void handle(HttpRequest request, HttpReply reply) override;
    std::optional<HttpResponse> checkHeader(const HttpRequestHeader &header, std::optional<std::uint64_t> declaredBytes) override;

    /** The id of a submission is in its body, so that an earlier copy cannot be excluded. */
    bool isRefusalNotRun(const HttpRequestHeader &header) const override
    {
        return header.method() != boost::beast::http::verb::post;
    }

private:
    void handleSubmit(std::string_view service, HttpRequest request, HttpReply reply);
    void forward(CallerRequestKind kind, wire::Job job, HttpReply reply);
    void drainReplies();

    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    HttpServer server_;
    std::size_t maxWaiting_;
    BoundedRing<CallerRequest> requests_;
    LoopDoorbell replyBell_;
    BoundedRing<CallerReply> replies_;
    absl::flat_hash_map<CallerToken, HttpReply> waiting_;
    std::uint64_t nextToken_ = 1;
    std::atomic<std::uint64_t> refused_{0};
    std::thread thread_;
};

}
