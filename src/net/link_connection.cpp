/** @file link_connection.cpp One TCP connection between two of our processes. */

#include "net/link_connection.h"

#include "core/time_type.h"
#include "net/link_hub.h"

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <random>

namespace medlarmill
{

namespace
{

constexpr Duration IDLE_LIMIT
    = Millis(10'000); ///< A connection on which nothing arrives for so long is closed; also bounds connecting and the hello.
constexpr int BITS_PER_BYTE = 8;
constexpr std::size_t PIECE_BYTES = 64U << 10U; ///< A frame is read in such pieces: its length is only a claim until the bytes are here.

std::string encode(const wire::Frame &frame)
{
    const std::size_t size = frame.ByteSizeLong();
    std::string bytes;
    bytes.reserve(size + sizeof(std::uint32_t));
    for (int shift = 3 * BITS_PER_BYTE; shift >= 0; shift -= BITS_PER_BYTE) {
        bytes.push_back(static_cast<char>(size >> static_cast<unsigned>(shift)));
    }
    frame.AppendToString(&bytes);
    return bytes;
}

}

LinkConnection::LinkConnection(LinkHub &hub, boost::asio::ip::tcp::socket socket, std::string target)
    : hub_(hub)
    , socket_(std::move(socket))
    , timer_(socket_.get_executor())
    , target_(std::move(target))
{ }

void LinkConnection::connect(const boost::asio::ip::tcp::endpoint &address)
{
    armTimer();
    socket_.async_connect(address, [self = shared_from_this()](boost::system::error_code error) {
        if (error) {
            self->close();
            return;
        }
        self->session_ = std::random_device()() | std::uint64_t{1} << 32U;
        self->start();
    });
}

void LinkConnection::start()
{
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    armTimer();
    if (!target_.empty()) {
        send({hub_.settings_.hello()});
    }
    readLength();
}

void LinkConnection::armTimer()
{
    heardSinceTimer_ = false;
    timer_.expires_after(IDLE_LIMIT);
    timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (error || self->closed_) {
            return;
        }
        // A connection dialed to another entry only sends; its proof of life comes on the connection of the other direction.
        const bool sendsOnly = !self->target_.empty() && self->peer_ != INVALID_INCARNATION;
        if (!self->heardSinceTimer_ && !sendsOnly) {
            self->close();
            return;
        }
        self->armTimer();
    });
}

void LinkConnection::readLength()
{
    boost::asio::async_read(socket_, boost::asio::buffer(header_),
                            [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                                if (error) {
                                    self->close();
                                    return;
                                }
                                std::size_t size = 0;
                                for (const unsigned char byte : self->header_) {
                                    size = size << BITS_PER_BYTE | byte;
                                }
                                if (size > MAX_FRAME_BYTES) {
                                    self->close();
                                    return;
                                }
                                self->body_.clear();
                                if (self->body_.capacity() > PIECE_BYTES) {
                                    self->body_.shrink_to_fit(); // One large frame must not keep its memory on every link.
                                }
                                self->readBody(size);
                            });
}

void LinkConnection::readBody(std::size_t size)
{
    const std::size_t begin = body_.size();
    body_.resize(std::min(size, begin + PIECE_BYTES));
    const auto piece = boost::asio::buffer(body_) + begin;
    boost::asio::async_read(socket_, piece, [self = shared_from_this(), size](boost::system::error_code error, std::size_t) {
        if (error) {
            self->close();
            return;
        }
        if (self->body_.size() < size) {
            self->readBody(size);
            return;
        }
        self->onFrame();
    });
}

void LinkConnection::onFrame()
{
    heardSinceTimer_ = true;
    auto event = std::make_unique<LinkEvent>();
    wire::Frame &frame = event->frame;
    const bool isFirst = receivedSequence_ == 0;
    if (!frame.ParseFromString(body_) || frame.protocol() < MIN_LINK_PROTOCOL || frame.sequence() != receivedSequence_ + 1) {
        close();
        return;
    }
    if (isFirst && target_.empty()) {
        session_ = frame.session();
    }
    if (frame.session() != session_) {
        close();
        return;
    }
    ++receivedSequence_;
    if (isFirst) {
        if (frame.messages_size() != 1) {
            close();
            return;
        }
        hub_.onHello(shared_from_this(), frame.messages(0));
        if (!closed_) {
            readLength();
        }
        return;
    }
    event->kind = LinkEventKind::Messages;
    event->sender = peer_;
    event->fromAgent = isAgent_;
    hub_.pushEventRetrying(std::move(event));
    if (hub_.overflow_.empty()) {
        readLength();
        return;
    }
    // The ring is full: stop reading, so that the sender is slowed down, until it has room again.
    hub_.paused_.push_back(weak_from_this());
}

void LinkConnection::resume()
{
    if (!closed_) {
        readLength();
    }
}

void LinkConnection::send(std::vector<wire::Message> messages)
{
    if (closed_) {
        return;
    }
    wire::Frame frame;
    frame.set_protocol(LINK_PROTOCOL);
    frame.set_session(session_);
    frame.set_sequence(++sentSequence_);
    for (wire::Message &message : messages) {
        *frame.add_messages() = std::move(message);
    }
    outgoing_.push_back(encode(frame));
    outgoingBytes_ += outgoing_.back().size();
    if (outgoingBytes_ > MAX_LINK_BACKLOG_BYTES) {
        ++hub_.slowReceivers_;
        close();
        return;
    }
    if (outgoing_.size() == 1) {
        write();
    }
}

void LinkConnection::write()
{
    boost::asio::async_write(socket_, boost::asio::buffer(outgoing_.front()),
                             [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                                 if (error) {
                                     self->close();
                                     return;
                                 }
                                 self->outgoingBytes_ -= self->outgoing_.front().size();
                                 self->outgoing_.pop_front();
                                 if (!self->outgoing_.empty()) {
                                     self->write();
                                 }
                             });
}

void LinkConnection::close()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    boost::system::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    hub_.onClosed(shared_from_this());
}

}
