/** @file server.h HTTP/1.1 server with bounded requests. */

#pragma once

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace medlarmill
{

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
};

/** Limits of an HTTP server. */
struct HttpLimits
{
    std::uint64_t maxBodyBytes = 8U << 20U; ///< Largest body.
    std::uint32_t maxHeaderBytes = 16U << 10U; ///< Largest header section.
    std::size_t maxConnections = 20'000; ///< Connections at most.
    std::chrono::seconds readTimeout{15}; ///< Time for a request to arrive, the wait for the next one included.
};

/** Accepts connections on a loop and reads requests from them. */
class HttpServer
{
public:
    /** @param context the loop. @param handler handles requests. @param limits the limits. */
    HttpServer(boost::asio::io_context &context, HttpHandler &handler, HttpLimits limits);

    /** Listens. @param address where. @return why it failed. */
    absl::Status listen(const boost::asio::ip::tcp::endpoint &address);

    /** Accepts no further connections. */
    void stopAccepting();

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    HttpHandler &handler_;
    HttpLimits limits_;
    std::shared_ptr<std::size_t> connections_;
};

/** Makes a response with a JSON body. @param status HTTP status. @param body the document. @return the response. */
HttpResponse jsonResponse(unsigned status, std::string body);

/** Makes a response with a text body. @param status HTTP status. @param body the text. @return the response. */
HttpResponse textResponse(unsigned status, std::string body);

}
