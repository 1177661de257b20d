/** @file server.cpp HTTP/1.1 server by Boost.Beast. */

#include "http/server.h"

#include "net/listen_func.h"

#include <boost/beast/core.hpp>
#include <fmt/format.h>
#include <optional>
#include <utility>

namespace medlarmill
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

/** One connection: reads a request, waits for its answer, writes it, reads the next. */
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(boost::asio::ip::tcp::socket socket, HttpHandler &handler, const HttpLimits &limits,
                std::shared_ptr<std::size_t> connections)
        : stream_(std::move(socket))
        , handler_(handler)
        , limits_(limits)
        , connections_(std::move(connections))
    {
        ++*connections_;
    }

    ~HttpSession()
    {
        --*connections_;
    }

    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    void read()
    {
        parser_.emplace();
        parser_->body_limit(limits_.maxBodyBytes);
        parser_->header_limit(limits_.maxHeaderBytes);
        stream_.expires_after(limits_.readTimeout);
        http::async_read(stream_, buffer_, *parser_, [self = shared_from_this()](beast::error_code error, std::size_t) {
            self->onRead(error);
        });
    }

private:
    void onRead(beast::error_code error)
    {
        if (error == http::error::body_limit || error == http::error::header_limit) {
            refuse(
                413,
                fmt::format(R"({{"kind":"invalid","reason":"too_large","remedy":"send at most {} bytes of headers and {} bytes of body"}})",
                            limits_.maxHeaderBytes, limits_.maxBodyBytes));
            return;
        }
        const bool isHttpError = error && error.category() == http::make_error_code(http::error::bad_method).category();
        if (isHttpError && error != http::error::end_of_stream && error != http::error::partial_message) {
            refuse(400, R"({"kind":"invalid","reason":"malformed","remedy":"send a valid HTTP/1.1 request"})");
            return;
        }
        if (error) {
            close();
            return;
        }
        if (isClosedByCaller()) {
            close(); // The request waited here while this process stood still; its caller may have asked elsewhere since.
            return;
        }
        stream_.expires_never();
        keepAlive_ = parser_->get().keep_alive();
        answered_ = false;
        handler_.handleWatched(
            parser_->release(),
            [weak = weak_from_this()](HttpResponse response) {
                if (const auto self = weak.lock()) {
                    self->write(std::move(response));
                }
            },
            gone_);
        if (!answered_) {
            watch();
        }
    }

    bool isClosedByCaller()
    {
        if (buffer_.size() > 0) {
            return false;
        }
        beast::error_code error;
        stream_.socket().non_blocking(true, error);
        char next = 0;
        const std::size_t bytes = stream_.socket().receive(boost::asio::buffer(&next, 1), boost::asio::socket_base::message_peek, error);
        return bytes == 0 && error != boost::asio::error::would_block;
    }

    /** Keeps the session alive while its answer is due, and notices a caller that has gone. */
    void watch()
    {
        stream_.socket().async_wait(boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this()](beast::error_code error) {
            if (error || self->answered_) {
                return;
            }
            char next = 0;
            beast::error_code peekError;
            const std::size_t bytes
                = self->stream_.socket().receive(boost::asio::buffer(&next, 1), boost::asio::socket_base::message_peek, peekError);
            if (bytes > 0) {
                self->keepAlive(); // The next request is here early; it waits for the answer to this one.
                return;
            }
            self->onCallerGone();
        });
    }

    void keepAlive()
    {
        stream_.socket().async_wait(boost::asio::ip::tcp::socket::wait_error, [self = shared_from_this()](beast::error_code) {});
    }

    void onCallerGone()
    {
        answered_ = true;
        close();
        if (const auto gone = std::exchange(gone_, nullptr)) {
            gone();
        }
    }

    void refuse(unsigned status, std::string body)
    {
        keepAlive_ = false;
        write(jsonResponse(status, std::move(body)));
    }

    void write(HttpResponse response)
    {
        if (answered_ && gone_ == nullptr && !stream_.socket().is_open()) {
            return;
        }
        answered_ = true;
        gone_ = nullptr;
        response_ = std::move(response);
        keepAlive_ = keepAlive_ && response_.keep_alive();
        response_.keep_alive(keepAlive_);
        response_.prepare_payload();
        stream_.expires_after(limits_.readTimeout);
        http::async_write(stream_, response_, [self = shared_from_this()](beast::error_code error, std::size_t) {
            boost::system::error_code ignored;
            self->stream_.socket().cancel(ignored);
            if (error || !self->keepAlive_) {
                self->close();
                return;
            }
            self->read();
        });
    }

    void close()
    {
        beast::error_code ignored;
        stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
        stream_.close();
    }

    beast::tcp_stream stream_;
    HttpHandler &handler_;
    HttpLimits limits_;
    std::shared_ptr<std::size_t> connections_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    HttpResponse response_;
    std::function<void()> gone_; ///< Tells the handler that the caller has gone.
    bool answered_ = false;
    bool keepAlive_ = false;
};

}

HttpServer::HttpServer(boost::asio::io_context &context, HttpHandler &handler, HttpLimits limits)
    : acceptor_(context)
    , handler_(handler)
    , limits_(limits)
    , connections_(std::make_shared<std::size_t>(0))
{ }

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
}

void HttpServer::accept()
{
    acceptor_.async_accept([this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted || !acceptor_.is_open()) {
            return;
        }
        if (!error && *connections_ < limits_.maxConnections) {
            boost::system::error_code ignored;
            socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
            std::make_shared<HttpSession>(std::move(socket), handler_, limits_, connections_)->read();
        }
        accept();
    });
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
