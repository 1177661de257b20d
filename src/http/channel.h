/** @file channel.h HTTP/1.1 client on connections that stay open: one request at a time on each. */

#pragma once

#include "http/client.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace medlarmill
{

/** Settings of an HttpChannel. */
struct HttpChannelSettings
{
    std::size_t maxConnections = 4; ///< Connections at most; further requests wait for a free one.
    Duration connectTimeout = Millis(500); ///< Time to open a connection.
    std::size_t maxWaiting = 1'000; ///< Requests that may wait; more are answered as not sent.
};

/** How a request on a channel failed to get an answer. */
enum class ChannelFailure : std::uint8_t {
    None, ///< It was answered.
    Refused, ///< Nothing listens there: not sent.
    Unreachable, ///< The connection could not be opened: not sent.
    Broken, ///< The connection broke after the request was sent.
    TimedOut, ///< The answer did not come in time.
    OtherProcess, ///< Another server process than the expected one answered the check of a new connection: not sent.
    CheckRefused, ///< The check of a new connection was not answered as expected: not sent; the response is that to the check.
    Unchecked, ///< The check of a new connection got no answer: not sent.
};

/** Result of a request on a channel. */
struct ChannelResult
{
    ChannelFailure failure = ChannelFailure::None; ///< Why there is no answer.
    HttpResponse response; ///< The answer.
};

/** Binds a request to one process of the server. A connection does not outlive the process, so one check for each connection is enough. */
struct ProcessCheck
{
    std::uint64_t expected = 0; ///< Number of the process.
    HttpRequest request; ///< Asks for the number; sent on connections on which it is not known.
    std::function<std::uint64_t(const HttpResponse &)> numberOf; ///< Reads the number from the answer; 0 when there is none.
};

/** Connections to one server. Lives on one loop; a connection whose answer did not come is closed. */
class HttpChannel : public std::enable_shared_from_this<HttpChannel>
{
public:
    using Done = std::function<void(ChannelResult)>; ///< Gets the result once, on the loop.

    /** @param context the loop. @param server where. @param settings limits. */
    HttpChannel(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint server, HttpChannelSettings settings);

    /** Makes a request. @param request the request. @param timeout time for the answer, the wait for a connection included. @param done
     * gets the result. @param check the process that may get the request; nullopt for any. */
    void call(HttpRequest request, Duration timeout, Done done, std::optional<ProcessCheck> check = std::nullopt);

    /** Closes all connections; requests under way end as broken. */
    void close();

    /** Closes the connections on which no request is under way; to be called when others to the same server have gone silent. */
    void dropIdle();

    /** @return the server. */
    const boost::asio::ip::tcp::endpoint &server() const
    {
        return server_;
    }

private:
    class Connection;
    friend class Connection;

    struct Waiting
    {
        HttpRequest request; ///< The request.
        Duration timeout{0}; ///< Time for the answer.
        Done done; ///< Gets the result.
        std::optional<ProcessCheck> check; ///< The process that may get it.
    };

    void next();
    void onIdle();

    boost::asio::io_context &context_;
    boost::asio::ip::tcp::endpoint server_;
    HttpChannelSettings settings_;
    std::vector<std::shared_ptr<Connection>> connections_;
    std::deque<Waiting> waiting_;
};

}
