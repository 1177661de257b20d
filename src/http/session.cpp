/** @file session.cpp One connection of an HTTP server. */

#include "http/session.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <utility>

namespace medlarmill
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::uint64_t SESSION_BYTES = 2'048; ///< The session itself, with its timers and its parser.
constexpr std::size_t FIRST_BUFFER_BYTES = 2'048; ///< Holds a usual request whole.
constexpr std::size_t BODY_BUFFER_BYTES = 16U << 10U; ///< Largest piece in which a body is read.
constexpr std::size_t LEAST_ROOM = 512; ///< Least room to read into.
constexpr std::uint64_t FIELD_BYTES = 96; ///< What a parsed header field takes beside its text.
constexpr std::uint64_t SMALL_BODY_BYTES = 4'096; ///< Such bodies are read even if refused, so that the connection can be kept.
constexpr std::uint64_t DRAIN_BYTES = 1U << 20U; ///< Read after a refusal, so that the client can read it before the connection closes.
constexpr Duration DRAIN_TIME = Millis(2'000); ///< Longest time for that.
constexpr unsigned RETRY_AFTER_S = 1; ///< Named when there is no memory: requests in progress end or stall within a second.
constexpr char CONTINUE[] = "HTTP/1.1 100 Continue\r\n\r\n";

std::uint64_t clientKey(const boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code error;
    const auto address = socket.remote_endpoint(error).address();
    if (error) {
        return 0;
    }
    if (address.is_v4()) {
        return address.to_v4().to_uint();
    }
    std::uint64_t key = 0; // The network part: a client chooses the rest freely.
    const auto bytes = address.to_v6().to_bytes();
    for (std::size_t index = 0; index < sizeof(key); ++index) {
        key = key << 8U | bytes[index];
    }
    return key;
}

std::string errorText(std::string_view reason, std::string_view remedy)
{
    return fmt::format(R"({{"kind":"invalid","reason":"{}","error":"{}","remedy":"{}"}})", reason, reason, remedy);
}

}

HttpSession::HttpSession(boost::asio::ip::tcp::socket socket, HttpHandler &handler, const HttpLimits &limits,
                         std::shared_ptr<HttpResources> resources, const HttpPort &port, PortId portId)
    : stream_(std::move(socket))
    , handler_(handler)
    , limits_(limits)
    , resources_(std::move(resources))
    , port_(port)
    , portId_(portId)
    , charge_(resources_->memory(), portId)
    , progress_(limits.progress)
    , buffer_(limits.maxHeaderBytes + FIRST_BUFFER_BYTES)
{
    id_ = resources_->add(*this, port_.portClass, clientKey(stream_.socket()));
}

HttpSession::~HttpSession()
{
    resources_->remove(id_);
}

std::uint64_t HttpSession::ownBytes() const
{
    return SESSION_BYTES + std::max(buffer_.capacity(), FIRST_BUFFER_BYTES);
}

void HttpSession::setState(ConnectionState state)
{
    resources_->connections().setState(id_, state, ProcessClock::now());
}

void HttpSession::start()
{
    if (!resources_->raise(charge_, ownBytes(), port_.portClass, id_)) {
        resources_->count(portId_, "connection_without_memory");
        close();
        return;
    }
    buffer_.reserve(FIRST_BUFFER_BYTES);
    read();
}

void HttpSession::read()
{
    if (closed_) {
        return;
    }
    if (buffer_.size() <= FIRST_BUFFER_BYTES && buffer_.capacity() > 2 * FIRST_BUFFER_BYTES) {
        buffer_.shrink_to_fit();
        buffer_.reserve(FIRST_BUFFER_BYTES);
    }
    parser_.emplace();
    parser_->body_limit(limits_.maxBodyBytes);
    parser_->header_limit(limits_.maxHeaderBytes);
    headerSeen_ = false;
    requestBytes_ = 0;
    charge_.set(ownBytes());
    progress_.beginIdle(ProcessClock::now());
    setState(ConnectionState::Idle);
    if (buffer_.size() > 0) {
        progress_.onHeaderBytes(ProcessClock::now());
        setState(ConnectionState::Receiving);
    }
    parse();
}

bool HttpSession::growBuffer()
{
    const std::size_t capacity = buffer_.capacity();
    const auto left = headerSeen_ ? parser_->content_length_remaining() : boost::optional<std::uint64_t>();
    const std::size_t wanted = left.has_value() ? std::min<std::uint64_t>(*left, BODY_BUFFER_BYTES) : 0;
    const std::size_t room = capacity - buffer_.size();
    if (room >= std::max(LEAST_ROOM, wanted) || (room > 0 && capacity >= buffer_.max_size())) {
        return true;
    }
    const std::size_t next = std::min(buffer_.max_size(), std::max(2 * capacity, buffer_.size() + wanted));
    if (next <= buffer_.size()) {
        refuse(jsonResponse(431, errorText("too_large", fmt::format("send at most {} bytes of headers", limits_.maxHeaderBytes))),
               headerSeen_ ? "chunk_header_too_large" : "header_too_large");
        return false;
    }
    // Old and new buffer exist together while bytes are moved.
    if (!resources_->raise(charge_, SESSION_BYTES + capacity + next + requestBytes_, port_.portClass, id_)) {
        refuseForMemory();
        return false;
    }
    buffer_.reserve(next);
    return true;
}

void HttpSession::receive()
{
    if (!growBuffer()) {
        return;
    }
    const std::size_t room = std::min(buffer_.capacity(), buffer_.max_size()) - buffer_.size();
    const Duration left = std::max(Duration(1), progress_.deadline() - ProcessClock::now());
    stream_.expires_after(left);
    stream_.async_read_some(buffer_.prepare(room), [self = shared_from_this()](beast::error_code error, std::size_t bytes) {
        self->onReceived(error, bytes);
    });
}

void HttpSession::onReceived(beast::error_code error, std::size_t bytes)
{
    if (closed_) {
        return;
    }
    if (error) {
        if (error == beast::error::timeout && (headerSeen_ || buffer_.size() > 0)) {
            resources_->count(portId_, headerSeen_ ? "body_too_slow" : "header_too_slow");
        }
        close();
        return;
    }
    buffer_.commit(bytes);
    const Instant now = ProcessClock::now();
    if (!headerSeen_) {
        progress_.onHeaderBytes(now);
        resources_->connections().setState(id_, ConnectionState::Receiving, now);
    } else {
        progress_.onBodyBytes(bytes, now);
        resources_->connections().onProgress(id_, now);
    }
    parse();
}

void HttpSession::parse()
{
    while (buffer_.size() > 0) {
        if (headerSeen_ && !reserveChunk()) {
            refuseForMemory();
            return;
        }
        beast::error_code error;
        const std::size_t used = parser_->put(buffer_.data(), error);
        buffer_.consume(used);
        if (error == http::error::need_more) {
            break;
        }
        if (error) {
            onParseError(error);
            return;
        }
        if (!headerSeen_ && parser_->is_header_done()) {
            headerSeen_ = true;
            if (!onHeader()) {
                return;
            }
        }
        if (parser_->is_done()) {
            dispatch();
            return;
        }
        if (used == 0) {
            break;
        }
    }
    receive();
}

bool HttpSession::onHeader()
{
    progress_.beginBody(ProcessClock::now());
    const auto &header = parser_->get();
    const auto fields = static_cast<std::size_t>(std::distance(header.begin(), header.end()));
    if (fields > limits_.maxHeaderFields) {
        refuse(jsonResponse(431, errorText("too_many_fields", fmt::format("send at most {} header fields", limits_.maxHeaderFields))),
               "too_many_header_fields");
        return false;
    }
    const bool hasBody = !parser_->is_done();
    const auto length = parser_->content_length();
    const std::uint64_t declared = hasBody && length.has_value() ? *length : 0;
    const bool expects = hasBody && beast::iequals(header[http::field::expect], "100-continue");
    if (hasBody && (expects || !length.has_value() || declared > SMALL_BODY_BYTES)) {
        auto refusal = handler_.checkHeader(header, length.has_value() ? std::optional<std::uint64_t>(declared) : std::nullopt);
        if (refusal.has_value()) {
            refuse(std::move(*refusal), "refused_by_header");
            return false;
        }
    }
    if (!chargeRequest(declared, fields)) {
        refuseForMemory();
        return false;
    }
    if (expects && buffer_.size() == 0) {
        continueRequest();
        return false;
    }
    return true;
}

bool HttpSession::chargeRequest(std::uint64_t declared, std::size_t fields)
{
    requestBytes_ = declared + fields * FIELD_BYTES + port_.answerBytes;
    return resources_->raise(charge_, ownBytes() + requestBytes_, port_.portClass, id_);
}

bool HttpSession::reserveChunk()
{
    std::string &body = parser_->get().body();
    const std::size_t needed = body.size() + buffer_.size();
    if (parser_->content_length().has_value() || needed <= body.capacity()) {
        return true;
    }
    // The string grows here, before the parser appends: old and new text exist together while bytes are moved.
    const std::size_t next = std::min<std::size_t>(std::max(2 * body.capacity(), needed), limits_.maxBodyBytes + buffer_.size());
    const std::uint64_t moved = body.capacity();
    requestBytes_ += next - std::min<std::uint64_t>(next, moved);
    if (!resources_->raise(charge_, ownBytes() + requestBytes_ + moved, port_.portClass, id_)) {
        return false;
    }
    body.reserve(next);
    return true;
}

void HttpSession::continueRequest()
{
    stream_.expires_after(limits_.progress.headerTime);
    boost::asio::async_write(stream_, boost::asio::buffer(CONTINUE, sizeof(CONTINUE) - 1),
                             [self = shared_from_this()](beast::error_code error, std::size_t) {
                                 if (self->closed_) {
                                     return;
                                 }
                                 if (error) {
                                     self->close();
                                     return;
                                 }
                                 self->receive();
                             });
}

void HttpSession::onParseError(beast::error_code error)
{
    if (error == http::error::body_limit) {
        refuse(jsonResponse(413, errorText("too_large", fmt::format("send at most {} bytes of body", limits_.maxBodyBytes))),
               "body_too_large");
    } else if (error == http::error::header_limit) {
        refuse(jsonResponse(431, errorText("too_large", fmt::format("send at most {} bytes of headers", limits_.maxHeaderBytes))),
               "header_too_large");
    } else {
        refuse(jsonResponse(400, errorText("malformed", "send a valid HTTP/1.1 request")), "malformed");
    }
}

void HttpSession::dispatch()
{
    if (isClosedByCaller()) {
        close(); // The request waited here while this process stood still; its caller may have asked elsewhere since.
        return;
    }
    stream_.expires_never();
    keepAlive_ = parser_->get().keep_alive();
    answered_ = false;
    setState(ConnectionState::Waiting);
    handler_.handleWatched(
        parser_->release(),
        [weak = weak_from_this()](HttpResponse response) {
            if (const auto self = weak.lock()) {
                self->write(std::move(response));
            }
        },
        gone_);
    parser_.reset();
    if (!answered_ && !closed_) {
        charge_.set(ownBytes() + port_.answerBytes);
        watch();
    }
}

bool HttpSession::isClosedByCaller()
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
void HttpSession::watch()
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

void HttpSession::keepAlive()
{
    stream_.socket().async_wait(boost::asio::ip::tcp::socket::wait_error, [self = shared_from_this()](beast::error_code) {});
}

void HttpSession::onCallerGone()
{
    answered_ = true;
    close();
    if (const auto gone = std::exchange(gone_, nullptr)) {
        gone();
    }
}

void HttpSession::refuse(HttpResponse response, std::string_view reason)
{
    resources_->count(portId_, reason);
    keepAlive_ = false;
    unread_ = true;
    parser_.reset();
    requestBytes_ = 0;
    write(std::move(response));
}

void HttpSession::refuseForMemory()
{
    const bool isTooLarge = !resources_->memory().couldEverHold(portId_, ownBytes() + requestBytes_);
    if (isTooLarge) {
        refuse(jsonResponse(413, errorText("too_large", "send a smaller body: this process has no memory for it")), "larger_than_budget");
        return;
    }
    if (!headerSeen_ || !handler_.isRefusalNotRun(parser_->get())) {
        // An earlier copy of the request may have been carried out, so nothing is claimed.
        resources_->count(portId_, "no_memory_closed");
        close();
        return;
    }
    HttpResponse response
        = jsonResponse(503, fmt::format(R"({{"error":"not run: no memory for the request","retry_after_ms":{}}})", RETRY_AFTER_S * 1'000));
    response.set(http::field::retry_after, std::to_string(RETRY_AFTER_S));
    refuse(std::move(response), "no_memory");
}

void HttpSession::write(HttpResponse response)
{
    if (closed_ || (answered_ && gone_ == nullptr && !stream_.socket().is_open())) {
        return;
    }
    answered_ = true;
    gone_ = nullptr;
    response_ = std::move(response);
    keepAlive_ = keepAlive_ && response_.keep_alive();
    response_.keep_alive(keepAlive_);
    response_.prepare_payload();
    const Instant now = ProcessClock::now();
    const std::uint64_t bytes = response_.body().size();
    charge_.set(ownBytes() + bytes); // An answer that is ready is not given up.
    setState(ConnectionState::Sending);
    stream_.expires_after(progress_.answerDeadline(bytes, now) - now);
    http::async_write(stream_, response_, [self = shared_from_this()](beast::error_code error, std::size_t) {
        self->onWritten(error);
    });
}

void HttpSession::onWritten(beast::error_code error)
{
    if (closed_) {
        return;
    }
    boost::system::error_code ignored;
    stream_.socket().cancel(ignored);
    response_ = {};
    if (error == beast::error::timeout) {
        resources_->count(portId_, "answer_read_too_slowly");
    }
    if (error || !keepAlive_) {
        if (!error && unread_) {
            beast::error_code shutdownError;
            stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, shutdownError);
            stream_.expires_after(DRAIN_TIME);
            setState(ConnectionState::Idle);
            drain();
            return;
        }
        close();
        return;
    }
    read();
}

/** Discards what a refused client still sends: closing with unread bytes would reset the connection before it has read the answer. */
void HttpSession::drain()
{
    buffer_.consume(buffer_.size());
    charge_.set(ownBytes());
    stream_.async_read_some(buffer_.prepare(buffer_.capacity()), [self = shared_from_this()](beast::error_code error, std::size_t bytes) {
        self->drained_ += bytes;
        if (self->closed_) {
            return;
        }
        if (error || self->drained_ >= DRAIN_BYTES) {
            self->close();
            return;
        }
        self->drain();
    });
}

void HttpSession::evict(std::string_view reason)
{
    resources_->count(portId_, reason);
    close();
}

void HttpSession::close()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    beast::error_code ignored;
    stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    stream_.close();
    // The descriptor and the body are free from here on; the session itself ends with its last operation.
    parser_.reset();
    charge_.set(ownBytes());
    resources_->remove(id_);
}

}
