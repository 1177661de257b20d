/** @file frame_socket.h Length-prefixed frames on one TCP connection, on the caller's loop. */

#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace medlarmill
{

/** Callbacks of a FrameSocket. */
struct FrameSocketEvents
{
    std::function<void(std::string_view)> onFrame; ///< A whole frame arrived.
    std::function<void()> onClosed; ///< The connection broke; called once, never from send() or close().
};

/** Reads and writes frames. */
class FrameSocket : public std::enable_shared_from_this<FrameSocket>
{
public:
    /** @param socket an open connection. */
    explicit FrameSocket(boost::asio::ip::tcp::socket socket);

    /** Begins to read. @param events callbacks. */
    void start(FrameSocketEvents events);

    /** Queues a frame; a receiver that lets too much wait loses its connection. @param body the frame. */
    void send(std::string_view body);

    /** Closes with a reset, so that bytes under way are dropped; onClosed is not called. */
    void close();

private:
    void readHeader();
    void readBody(std::size_t length);
    void write();
    void fail();

    boost::asio::ip::tcp::socket socket_;
    FrameSocketEvents events_;
    std::array<unsigned char, 4> header_{};
    std::string body_;
    std::string writing_; ///< Bytes of the write under way.
    std::string waiting_; ///< Bytes that follow.
    bool writePending_ = false;
    bool closed_ = false;
};

/** Lets a connection whose other side does not answer fail by itself. @param socket an open connection. @param limit time without an
 * acknowledgement, in milliseconds. */
void setUserTimeout(boost::asio::ip::tcp::socket &socket, unsigned limit);

}
