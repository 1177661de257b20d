/** @file channel.cpp HTTP/1.1 client on connections that stay open. */

#include "http/channel.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <optional>
#include <utility>

namespace medlarmill
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::uint64_t MAX_ANSWER_BYTES = 8U << 20U; ///< Largest answer.

}

/** One connection. */
class HttpChannel::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(boost::asio::io_context &context, std::weak_ptr<HttpChannel> owner)
        : stream_(context)
        , owner_(std::move(owner))
    { }

    bool isBusy() const
    {
        return done_ != nullptr;
    }

    void send(Waiting item, const boost::asio::ip::tcp::endpoint &server, Duration connectTimeout)
    {
        request_ = std::move(item.request);
        request_.prepare_payload();
        check_ = std::move(item.check);
        done_ = std::move(item.done);
        timeout_ = item.timeout;
        if (open_) {
            server_ = server;
            connectTimeout_ = connectTimeout;
            proceed(true);
            return;
        }
        connect(server, connectTimeout);
    }

    void close()
    {
        open_ = false;
        beast::error_code ignored;
        stream_.socket().close(ignored);
        finish(ChannelFailure::Broken);
    }

private:
    void connect(const boost::asio::ip::tcp::endpoint &server, Duration connectTimeout)
    {
        server_ = server;
        connectTimeout_ = connectTimeout;
        process_ = 0;
        stream_.expires_after(std::min(connectTimeout, timeout_));
        stream_.async_connect(server, [self = shared_from_this()](beast::error_code error) {
            if (error) {
                self->drop();
                self->finish(error == boost::asio::error::connection_refused ? ChannelFailure::Refused : ChannelFailure::Unreachable);
                return;
            }
            beast::error_code ignored;
            self->stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
            self->open_ = true;
            self->proceed(false);
        });
    }

    /** @param reused the connection was used before: the server may have closed it meanwhile, and has then not seen the request. */
    void proceed(bool reused)
    {
        const bool isOther = check_.has_value() && process_ != 0 && process_ != check_->expected;
        if (reused && (isOther || isClosedByServer())) {
            drop();
            connect(server_, connectTimeout_);
            return;
        }
        stream_.expires_after(timeout_);
        if (check_.has_value() && process_ == 0) {
            check_->request.prepare_payload();
            exchange(check_->request, [](Connection &self) {
                self.onChecked();
            });
            return;
        }
        write();
    }

    void write()
    {
        isSent_ = true;
        exchange(request_, [](Connection &self) {
            self.finish(ChannelFailure::None);
        });
    }

    void onChecked()
    {
        process_ = check_->numberOf(parser_->get());
        if (process_ == 0) {
            finish(ChannelFailure::CheckRefused);
        } else if (process_ != check_->expected) {
            finish(ChannelFailure::OtherProcess);
        } else if (!open_) {
            finish(ChannelFailure::Unchecked);
        } else {
            write();
        }
    }

    /** Sends a request and reads its answer. @param request the request; kept until the answer. @param done called after the answer. */
    void exchange(HttpRequest &request, void (*done)(Connection &))
    {
        http::async_write(stream_, request, [self = shared_from_this(), done](beast::error_code error, std::size_t) {
            if (error) {
                self->onError(error);
                return;
            }
            self->read(done);
        });
    }

    bool isClosedByServer()
    {
        beast::error_code error;
        stream_.socket().non_blocking(true, error);
        char next = 0;
        const std::size_t bytes = stream_.socket().receive(boost::asio::buffer(&next, 1), boost::asio::socket_base::message_peek, error);
        return error != boost::asio::error::would_block || bytes > 0;
    }

    void read(void (*done)(Connection &))
    {
        parser_.emplace();
        parser_->body_limit(MAX_ANSWER_BYTES);
        http::async_read(stream_, buffer_, *parser_, [self = shared_from_this(), done](beast::error_code error, std::size_t) {
            if (error) {
                self->onError(error);
                return;
            }
            if (self->isSent_) {
                self->stream_.expires_never();
            }
            if (!self->parser_->get().keep_alive()) {
                self->drop();
            }
            done(*self);
        });
    }

    void onError(beast::error_code error)
    {
        drop();
        const bool timedOut = error == beast::error::timeout;
        if (const auto owner = owner_.lock(); owner != nullptr && timedOut) {
            owner->dropIdle(); // What made this connection silent may have made the others silent too.
        }
        if (!isSent_) {
            finish(ChannelFailure::Unchecked);
            return;
        }
        finish(timedOut ? ChannelFailure::TimedOut : ChannelFailure::Broken);
    }

    void drop()
    {
        open_ = false;
        process_ = 0;
        beast::error_code ignored;
        stream_.socket().close(ignored);
        buffer_.clear();
    }

    void finish(ChannelFailure failure)
    {
        if (done_ == nullptr) {
            return;
        }
        ChannelResult result;
        result.failure = failure;
        stream_.expires_never();
        isSent_ = false;
        if (failure == ChannelFailure::None || failure == ChannelFailure::CheckRefused) {
            result.response = parser_->release();
        }
        const Done done = std::exchange(done_, nullptr);
        done(std::move(result));
        if (const auto owner = owner_.lock()) {
            owner->onIdle();
        }
    }

    beast::tcp_stream stream_;
    std::weak_ptr<HttpChannel> owner_;
    boost::asio::ip::tcp::endpoint server_;
    Duration connectTimeout_{0};
    Duration timeout_{0};
    HttpRequest request_;
    std::optional<ProcessCheck> check_; ///< The process that may get the request.
    std::uint64_t process_ = 0; ///< Number of the process at the other end; 0 until a check has given it.
    bool isSent_ = false; ///< Sending the request, rather than the check, has begun.
    std::optional<http::response_parser<http::string_body>> parser_;
    beast::flat_buffer buffer_;
    Done done_;
    bool open_ = false;
};

HttpChannel::HttpChannel(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint server, HttpChannelSettings settings)
    : context_(context)
    , server_(std::move(server))
    , settings_(settings)
{ }

void HttpChannel::call(HttpRequest request, Duration timeout, Done done, std::optional<ProcessCheck> check)
{
    if (waiting_.size() >= settings_.maxWaiting) {
        boost::asio::post(context_, [done = std::move(done)] {
            ChannelResult result;
            result.failure = ChannelFailure::Unreachable;
            done(std::move(result));
        });
        return;
    }
    waiting_.push_back({std::move(request), timeout, std::move(done), std::move(check)});
    next();
}

void HttpChannel::next()
{
    while (!waiting_.empty()) {
        auto idle = std::ranges::find_if(connections_, [](const auto &connection) {
            return !connection->isBusy();
        });
        if (idle == connections_.end()) {
            if (connections_.size() >= settings_.maxConnections) {
                return;
            }
            connections_.push_back(std::make_shared<Connection>(context_, weak_from_this()));
            idle = connections_.end() - 1;
        }
        Waiting item = std::move(waiting_.front());
        waiting_.pop_front();
        (*idle)->send(std::move(item), server_, settings_.connectTimeout);
    }
}

void HttpChannel::onIdle()
{
    next();
}

void HttpChannel::dropIdle()
{
    std::erase_if(connections_, [](const auto &connection) {
        return !connection->isBusy();
    });
}

void HttpChannel::close()
{
    const auto connections = std::exchange(connections_, {});
    for (const auto &connection : connections) {
        connection->close();
    }
}

}
