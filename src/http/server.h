/** @file server.h HTTP/1.1 server with bounded requests. */

#pragma once

#include "http/memory_budget.h"
#include "http/request_progress.h"

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace medlarmill
{

class HttpResources;

using HttpRequestHeader = boost::beast::http::request_header<>; ///< Method, target and fields of a request.
using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>; ///< A whole request.
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>; ///< A whole response.
using HttpReply = std::function<void(HttpResponse)>; ///< Answers a request once; called on the server's loop.

/** Handles requests. */
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;

    /** Handles a request. @param request the request. @param reply answers it, now or later; nothing happens when the connection has gone.
     */
    virtual void handle(HttpRequest request, HttpReply reply) = 0;

    /** Handles a request of a caller whose leaving matters. @param request the request. @param reply answers it. @param gone filled in by
     * the handler; called once if the caller closes its connection before the answer. */
    virtual void handleWatched(HttpRequest request, HttpReply reply, std::function<void()> & /*gone*/)
    {
        handle(std::move(request), std::move(reply));
    }

    /** Judges a request with a body by its header, before the body is read. Small bodies are read without this. @param header the header.
     * @param declaredBytes length of the body, if it is declared. @return the refusal, after which the connection is closed; none to read
     * the body. */
    virtual std::optional<HttpResponse> checkHeader(const HttpRequestHeader & /*header*/, std::optional<std::uint64_t> /*declaredBytes*/)
    {
        return std::nullopt;
    }

    /** @param header header of a request that cannot be held. @return whether an answer "not run" is true: no earlier copy of the request
     * is being carried out or was. Without, the connection is closed. */
    virtual bool isRefusalNotRun(const HttpRequestHeader & /*header*/) const
    {
        return true;
    }
};

/** Limits of an HTTP server. */
struct HttpLimits
{
    std::uint64_t maxBodyBytes = 8U << 20U; ///< Largest body.
    std::uint32_t maxHeaderBytes = 16U << 10U; ///< Largest header section.
    std::size_t maxConnections = 20'000; ///< Connections at most.
    std::size_t maxHeaderFields = 128; ///< Header fields at most.
    std::uint64_t memoryBytes = 256U << 20U; ///< What requests may hold, for a server with resources of its own.
    ProgressLimits progress; ///< Times and rates that a client must keep.
};

/** What a server says of its port to the resources of the process. */
struct HttpPort
{
    std::string name = "http"; ///< Name in metrics and log lines.
    PortClass portClass = PortClass::Ordinary; ///< What it is for.
    double memoryShare = 1; ///< Largest part of the memory that it may use.
    std::uint64_t answerBytes = 1'024; ///< Usual size of an answer; charged when a request is taken.
};

constexpr double RESERVED_MEMORY_SHARE = 0.0625; ///< Each of two reserved ports gets half of the reserve.

/** Accepts connections on a loop and reads requests from them. */
class HttpServer
{
public:
    /** A server with resources of its own. @param context the loop. @param handler handles requests. @param limits the limits. */
    HttpServer(boost::asio::io_context &context, HttpHandler &handler, HttpLimits limits);

    /** A server that shares the resources of its process. @param context the loop. @param handler handles requests. @param limits the
     * limits; the number of connections is that of the resources. @param resources memory and connections. @param port the port. */
    HttpServer(boost::asio::io_context &context, HttpHandler &handler, HttpLimits limits, std::shared_ptr<HttpResources> resources,
               HttpPort port);
    ~HttpServer();

    /** Listens. @param address where. @return why it failed. */
    absl::Status listen(const boost::asio::ip::tcp::endpoint &address);

    /** Accepts no further connections. */
    void stopAccepting();

    /** @return what the servers of the process share. */
    HttpResources &resources() const
    {
        return *resources_;
    }

    /** @return the id of the port in the resources. */
    PortId portId() const
    {
        return portId_;
    }

private:
    void accept();
    void acceptAfter(Duration pause);
    void onAccepted(boost::system::error_code error, boost::asio::ip::tcp::socket socket);

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer pause_;
    HttpHandler &handler_;
    HttpLimits limits_;
    std::shared_ptr<HttpResources> resources_;
    HttpPort port_;
    PortId portId_;
};

/** Makes a response with a JSON body. @param status HTTP status. @param body the document. @return the response. */
HttpResponse jsonResponse(unsigned status, std::string body);

/** Makes a response with a text body. @param status HTTP status. @param body the text. @return the response. */
HttpResponse textResponse(unsigned status, std::string body);

}
