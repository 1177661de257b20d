/** @file frame_socket.cpp Length-prefixed frames on one TCP connection. */

#include "net/frame_socket.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <netinet/tcp.h>
#include <utility>

namespace medlarmill
{

namespace
{

constexpr std::size_t FRAME_LIMIT_BYTES = 4U << 20U; ///< Largest frame.
constexpr std::size_t PIECE_BYTES = 64U << 10U; ///< A frame is read in such pieces: its length is only a claim until the bytes are here.
constexpr std::size_t BACKLOG_LIMIT_BYTES = 8U << 20U; ///< Bytes that may wait for a slow receiver.

}

FrameSocket::FrameSocket(boost::asio::ip::tcp::socket socket)
    : socket_(std::move(socket))
{
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

void FrameSocket::start(FrameSocketEvents events)
{
    events_ = std::move(events);
    readHeader();
}

void FrameSocket::readHeader()
{
    boost::asio::async_read(socket_, boost::asio::buffer(header_),
                            [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                                if (self->closed_) {
                                    return;
                                }
                                const std::uint32_t length = boost::endian::load_big_u32(self->header_.data());
                                if (error || length > FRAME_LIMIT_BYTES) {
                                    self->fail();
                                    return;
                                }
                                self->body_.clear();
                                if (self->body_.capacity() > PIECE_BYTES) {
                                    self->body_.shrink_to_fit(); // One large frame must not keep its memory on every link.
                                }
                                self->readBody(length);
                            });
}

void FrameSocket::readBody(std::size_t length)
{
    const std::size_t begin = body_.size();
    body_.resize(std::min(length, begin + PIECE_BYTES));
    const auto piece = boost::asio::buffer(body_) + begin;
    boost::asio::async_read(socket_, piece, [self = shared_from_this(), length](boost::system::error_code error, std::size_t) {
        if (self->closed_) {
            return;
        }
        if (error) {
            self->fail();
            return;
        }
        if (self->body_.size() < length) {
            self->readBody(length);
            return;
        }
        self->events_.onFrame(self->body_);
        if (!self->closed_) {
            self->readHeader();
        }
    });
}

void FrameSocket::send(std::string_view body)
{
    if (closed_) {
        return;
    }
    if (waiting_.size() + body.size() > BACKLOG_LIMIT_BYTES) {
        boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
            self->fail();
        });
        return;
    }
    std::array<unsigned char, 4> header{};
    boost::endian::store_big_u32(header.data(), static_cast<std::uint32_t>(body.size()));
    waiting_.append(header.begin(), header.end());
    waiting_.append(body);
    if (!writePending_) {
        write();
    }
}

void FrameSocket::write()
{
    writePending_ = true;
    writing_ = std::exchange(waiting_, {});
    boost::asio::async_write(socket_, boost::asio::buffer(writing_),
                             [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                                 self->writePending_ = false;
                                 if (self->closed_) {
                                     return;
                                 }
                                 if (error) {
                                     self->fail();
                                     return;
                                 }
                                 if (!self->waiting_.empty()) {
                                     self->write();
                                 }
                             });
}

void FrameSocket::fail()
{
    if (closed_) {
        return;
    }
    close();
    if (const auto onClosed = std::exchange(events_.onClosed, nullptr)) {
        onClosed();
    }
}

void FrameSocket::close()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
}

void setUserTimeout(boost::asio::ip::tcp::socket &socket, unsigned limit)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(static_cast<int>(limit)), ignored);
}

}
