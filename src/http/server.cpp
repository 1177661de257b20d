/** @file server.cpp HTTP/1.1 server by Boost.Beast. */

#include "http/server.h"

#include "http/http_resources.h"
#include "http/session.h"
#include "net/listen_func.h"

#include <utility>

namespace medlarmill
{

namespace
{

namespace http = boost::beast::http;

constexpr Duration FULL_PAUSE = Millis(20); ///< Time between two looks for room while all connections are in use.
constexpr Duration ERROR_PAUSE = Millis(50); ///< Time after a failed accept, which would fail again at once without descriptors.

std::shared_ptr<HttpResources> ownResources(const HttpLimits &limits)
{
    return std::make_shared<HttpResources>(MemoryBudgetSettings{limits.memoryBytes, 0}, ConnectionLimitSettings{limits.maxConnections, 0},
                                           HttpResources::LogLine());
}

}

HttpServer::HttpServer(boost::asio::io_context &context, HttpHandler &handler, HttpLimits limits)
    : HttpServer(context, handler, limits, ownResources(limits), HttpPort())
{ }

HttpServer::HttpServer(boost::asio::io_context &context, HttpHandler &handler, HttpLimits limits, std::shared_ptr<HttpResources> resources,
                       HttpPort port)
    : acceptor_(context)
    , pause_(context)
    , handler_(handler)
    , limits_(limits)
    , resources_(std::move(resources))
    , port_(std::move(port))
    , portId_(resources_->memory().addPort(port_.name, port_.portClass, port_.memoryShare))
{ }

HttpServer::~HttpServer() = default;

absl::Status HttpServer::listen(const boost::asio::ip::tcp::endpoint &address)
{
    absl::Status status = listenOn(acceptor_, address);
    if (status.ok()) {
        accept();
    }
    return status;
}

void HttpServer::stopAccepting()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    pause_.cancel();
}

void HttpServer::accept()
{
    // Further clients wait in the listening queue, where they take no descriptor of this process.
    if (!resources_->makeRoomForConnection(port_.portClass)) {
        acceptAfter(FULL_PAUSE);
        return;
    }
    acceptor_.async_accept([this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted || !acceptor_.is_open()) {
            return;
        }
        onAccepted(error, std::move(socket));
    });
}

void HttpServer::acceptAfter(Duration pause)
{
    pause_.expires_after(pause);
    pause_.async_wait([this](boost::system::error_code error) {
        if (!error && acceptor_.is_open()) {
            accept();
        }
    });
}

void HttpServer::onAccepted(boost::system::error_code error, boost::asio::ip::tcp::socket socket)
{
    if (error) {
        resources_->count(portId_, "accept_failed");
        acceptAfter(ERROR_PAUSE);
        return;
    }
    // Another port of the process may have taken the place meanwhile.
    if (!resources_->makeRoomForConnection(port_.portClass)) {
        resources_->count(portId_, "no_connection_left");
        boost::system::error_code ignored;
        socket.close(ignored);
        acceptAfter(FULL_PAUSE);
        return;
    }
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    std::make_shared<HttpSession>(std::move(socket), handler_, limits_, resources_, port_, portId_)->start();
    accept();
}

HttpResponse jsonResponse(unsigned status, std::string body)
{
    HttpResponse response;
    response.result(status);
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    response.body() += '\n';
    return response;
}

HttpResponse textResponse(unsigned status, std::string body)
{
    HttpResponse response;
    response.result(status);
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.body() = std::move(body);
    return response;
}

}
