/** @file link_connection.h One TCP connection between two of our processes. */

#pragma once

#include "net/link_type.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace medlarmill
{

class LinkHub;

/** Reads and writes frames; lives on the link thread. */
class LinkConnection : public std::enable_shared_from_this<LinkConnection>
{
public:
    /** @param hub the owner. @param socket the socket. @param target dialed address; empty when accepted. */
    LinkConnection(LinkHub &hub, boost::asio::ip::tcp::socket socket, std::string target);

    /** Connects a dialed connection. @param address where. */
    void connect(const boost::asio::ip::tcp::endpoint &address);

    /** Begins to read; a dialed connection says hello first. */
    void start();

    /** Queues messages as one frame. @param messages the messages. */
    void send(std::vector<wire::Message> messages);

    /** Closes the connection; the hub is told once. */
    void close();

    /** Continues to read after the event ring had been full. */
    void resume();

    /** @return dialed address; empty when accepted. */
    const std::string &target() const
    {
        return target_;
    }

    /** @return the other process, invalid before its hello. */
    Incarnation peer() const
    {
        return peer_;
    }

    /** Names the other process. @param peer its incarnation. @param isAgent whether it is an agent. */
    void identify(Incarnation peer, bool isAgent)
    {
        peer_ = peer;
        isAgent_ = isAgent;
    }

    /** @return whether the other process is an agent. */
    bool isAgent() const
    {
        return isAgent_;
    }

    /** @return whether the connection is closed. */
    bool isClosed() const
    {
        return closed_;
    }

    /** @return whether everything queued was written. */
    bool isFlushed() const
    {
        return outgoing_.empty();
    }

private:
    void readLength();
    void readBody(std::size_t size);
    void onFrame();
    void write();
    void armTimer();

    LinkHub &hub_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::string target_;
    Incarnation peer_ = INVALID_INCARNATION;
    bool isAgent_ = false;
    bool closed_ = false;
    bool heardSinceTimer_ = false;
    std::uint64_t session_ = 0;
    std::uint64_t sentSequence_ = 0;
    std::uint64_t receivedSequence_ = 0;
    std::array<unsigned char, 4> header_{};
    std::string body_;
    std::deque<std::string> outgoing_;
    std::size_t outgoingBytes_ = 0;
};

}
