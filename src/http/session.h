/** @file session.h One connection of an HTTP server. */

#pragma once

#include "http/http_resources.h"
#include "http/request_progress.h"
#include "http/server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace medlarmill
{

/** Reads a request, waits for its answer, writes it, reads the next. What is held is charged before it is read. */
class HttpSession : public std::enable_shared_from_this<HttpSession>, public EvictableConnection
{
public:
    /** @param socket an open connection. @param handler handles requests. @param limits limits of a request. @param resources memory and
     * connections of the process. @param port the port. @param portId its id. */
    HttpSession(boost::asio::ip::tcp::socket socket, HttpHandler &handler, const HttpLimits &limits,
                std::shared_ptr<HttpResources> resources, const HttpPort &port, PortId portId);
    ~HttpSession() override;
    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    /** Begins to read; closes when there is no memory for the connection itself. */
    void start();

    void evict(std::string_view reason) override;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read();
    void receive();
    void onReceived(boost::beast::error_code error, std::size_t bytes);
    bool growBuffer();
    void parse();
    bool onHeader();
    bool chargeRequest(std::uint64_t declared, std::size_t fields);
    bool reserveChunk();
    void continueRequest();
    void onParseError(boost::beast::error_code error);
    void dispatch();
    bool isClosedByCaller();
    void watch();
    void keepAlive();
    void onCallerGone();
    void refuse(HttpResponse response, std::string_view reason);
    void refuseForMemory();
    void write(HttpResponse response);
    void onWritten(boost::beast::error_code error);
    void drain();
    void close();
    void setState(ConnectionState state);
    std::uint64_t ownBytes() const;

    boost::beast::tcp_stream stream_;
    HttpHandler &handler_;
    const HttpLimits limits_;
    std::shared_ptr<HttpResources> resources_;
    const HttpPort port_;
    PortId portId_;
    ConnectionId id_{0};
    MemoryCharge charge_;
    RequestProgress progress_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    HttpResponse response_;
    std::function<void()> gone_; ///< Tells the handler that the caller has gone.
    std::uint64_t requestBytes_ = 0; ///< Charged for the header and body of the request that is read.
    std::uint64_t drained_ = 0; ///< Bytes read after a refusal.
    bool headerSeen_ = false;
    bool answered_ = false;
    bool keepAlive_ = false;
    bool unread_ = false; ///< A part of the refused request is still to come.
    bool closed_ = false;
};

}
