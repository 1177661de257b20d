/** @file client.cpp HTTP/1.1 client by Boost.Beast. */

#include "http/client.h"

#include <boost/beast/core.hpp>
#include <optional>

namespace medlarmill
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::uint64_t MAX_ANSWER_BYTES = 64U << 20U; ///< Largest answer.

class HttpCallSession : public HttpCall, public std::enable_shared_from_this<HttpCallSession>
{
public:
    HttpCallSession(boost::asio::io_context &context, HttpCallRequest call, std::function<void(HttpResult)> done)
        : stream_(context)
        , call_(std::move(call))
        , done_(std::move(done))
    {
        parser_.body_limit(MAX_ANSWER_BYTES);
        call_.request.prepare_payload();
    }

    void start()
    {
        stream_.expires_after(call_.connectTimeout);
        stream_.async_connect(call_.server, [self = shared_from_this()](beast::error_code error) {
            if (error) {
                self->finish(HttpProgress::NotSent, error);
                return;
            }
            self->write();
        });
    }

    void cancel() override
    {
        stream_.close();
    }

private:
    void write()
    {
        beast::error_code ignored;
        stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        stream_.expires_after(call_.timeout);
        http::async_write(stream_, call_.request, [self = shared_from_this()](beast::error_code error, std::size_t) {
            if (error) {
                self->finish(HttpProgress::Sent, error);
                return;
            }
            self->read();
        });
    }

    void read()
    {
        http::async_read(stream_, buffer_, parser_, [self = shared_from_this()](beast::error_code error, std::size_t) {
            self->finish(error ? HttpProgress::Sent : HttpProgress::Answered, error);
        });
    }

    void finish(HttpProgress progress, beast::error_code error)
    {
        HttpResult result;
        result.progress = progress;
        if (progress == HttpProgress::Answered) {
            result.status = parser_.get().result_int();
            result.body = std::move(parser_.get().body());
        } else {
            result.body = error.message();
        }
        beast::error_code ignored;
        stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
        stream_.close();
        done_(std::move(result));
    }

    beast::tcp_stream stream_;
    HttpCallRequest call_;
    std::function<void(HttpResult)> done_;
    beast::flat_buffer buffer_;
    http::response_parser<http::string_body> parser_;
};

}

std::shared_ptr<HttpCall> startHttpCall(boost::asio::io_context &context, HttpCallRequest call, std::function<void(HttpResult)> done)
{
    auto session = std::make_shared<HttpCallSession>(context, std::move(call), std::move(done));
    session->start();
    return session;
}

HttpResult callHttp(HttpCallRequest call)
{
    boost::asio::io_context context;
    HttpResult result;
    startHttpCall(context, std::move(call), [&result](HttpResult finished) {
        result = std::move(finished);
    });
    context.run();
    return result;
}

HttpRequest makeHttpRequest(boost::beast::http::verb verb, std::string_view target, std::string body)
{
    HttpRequest request{verb, target, 11};
    request.set(http::field::host, "medlarmill");
    request.keep_alive(false);
    if (!body.empty()) {
        request.set(http::field::content_type, "application/json");
    }
    request.body() = std::move(body);
    return request;
}

}
