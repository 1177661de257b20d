/** @file client.h HTTP/1.1 client: one request on a connection of its own. */

#pragma once

#include "core/time_type.h"
#include "http/server.h"

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace medlarmill
{

/** How far a request got. */
enum class HttpProgress : std::uint8_t {
    NotSent, ///< The connection could not be opened: the server has seen nothing.
    Sent, ///< Some of the request may have reached the server, and no whole answer came.
    Answered, ///< A whole answer came.
};

/** Result of a request. */
struct HttpResult
{
    HttpProgress progress = HttpProgress::NotSent; ///< How far it got.
    unsigned status = 0; ///< HTTP status when answered.
    std::string body; ///< Body when answered, otherwise an error text.
};

/** A request under way; cancel() ends it early. */
class HttpCall
{
public:
    virtual ~HttpCall() = default;

    /** Closes the connection; the result is reported as it is. */
    virtual void cancel() = 0;
};

/** One request for a client. */
struct HttpCallRequest
{
    boost::asio::ip::tcp::endpoint server; ///< Where to.
    HttpRequest request; ///< Method, target, headers and body.
    Duration connectTimeout = Millis(1'000); ///< Time to open the connection.
    Duration timeout = Millis(10'000); ///< Time for the answer.
};

/** Starts a request. @param context the loop. @param call the request. @param done gets the result once, on the loop. @return handle to
 * cancel it. */
std::shared_ptr<HttpCall> startHttpCall(boost::asio::io_context &context, HttpCallRequest call, std::function<void(HttpResult)> done);

/** Makes a request and waits for it. @param call the request. @return the result. */
HttpResult callHttp(HttpCallRequest call);

/** Makes a request without headers. @param verb method. @param target path. @param body JSON body, may be empty. @return the request. */
HttpRequest makeHttpRequest(boost::beast::http::verb verb, std::string_view target, std::string body = {});

}
