/** @file message_hub.h Links of the single-threaded processes: who dials, who is known, what is sent. */

#pragma once

#include "core/ids_type.h"
#include "core/time_type.h"
#include "net/frame_socket.h"
#include "wire/generated/repeat.pb.h"

#include <absl/container/btree_map.h>
#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlarmill
{

/** Receives what happens on links. */
class MessageHubEvents
{
public:
    virtual ~MessageHubEvents() = default;

    /** A link is up. @param peer the other process. @param hello its first message. @param dialed whether this process dialed it. */
    virtual void onLinkUp(Incarnation peer, const repeat::Message &hello, bool dialed) = 0;

    /** A link is down. @param peer the other process. @param processGone whether that process has certainly ended. */
    virtual void onLinkDown(Incarnation peer, bool processGone) = 0;

    /** A message arrived. @param peer the sender. @param message the message. */
    virtual void onMessage(Incarnation peer, const repeat::Message &message) = 0;

    /** A process that was to be dialed has not answered for long and is no longer dialed. @param address its address. */
    virtual void onTargetForgotten(const std::string &address) = 0;

    /** All messages of a frame were handed over. */
    virtual void onFrameEnd() = 0;
};

/** Dials and accepts links. An accepting entry speaks first; the dialer answers with its own hello. */
class MessageHub
{
public:
    /** Settings of a hub. */
    struct Settings
    {
        std::function<repeat::Message()> hello; ///< Makes the hello of this process for accepted links; not used by agents.
        std::string ownAddress; ///< Never dialed.
        Duration forgetAfter = Millis(60'000); ///< A process that does not answer for so long is no longer dialed.
        Duration silence = Millis(1'500); ///< A link on which nothing arrives for so long is closed.
    };

    /** @param context the loop. @param settings settings. @param events receives events. */
    MessageHub(boost::asio::io_context &context, Settings settings, MessageHubEvents &events);
    ~MessageHub();
    MessageHub(const MessageHub &) = delete;
    MessageHub &operator=(const MessageHub &) = delete;

    /** Listens. @param address where. @return why it failed. */
    absl::Status listen(const boost::asio::ip::tcp::endpoint &address);

    /** Names the processes to dial; others that were dialed are let go. @param addresses `number:port` of each. */
    void setTargets(const std::vector<std::string> &addresses);

    /** Closes the link to a dialed process and dials it no more; no onLinkDown follows. @param address its address. */
    void dropTarget(const std::string &address);

    /** Sends a message at the end of the turn. @param peer the receiver; dropped when there is no link. @param message the message. */
    void sendTo(Incarnation peer, repeat::Message message);

    /** Closes the link to a process with a reset; no onLinkDown follows. @param peer the process. */
    void resetLink(Incarnation peer);

    /** @return number of links that are up. */
    std::size_t linkCount() const
    {
        return peers_.size();
    }

private:
    struct Link;
    struct Target;

    void accept();
    void dial(const std::string &address);
    void onConnected(const std::string &address, std::uint64_t attempt, boost::system::error_code error);
    void redial(const std::string &address, bool failed);
    void attach(const std::shared_ptr<Link> &link, boost::asio::ip::tcp::socket socket);
    void onFrame(const std::shared_ptr<Link> &link, std::string_view bytes);
    bool identify(const std::shared_ptr<Link> &link, const repeat::Message &hello);
    void onClosed(const std::shared_ptr<Link> &link);
    void scheduleFlush();
    void flush();
    void checkSilence();

    boost::asio::io_context &context_;
    Settings settings_;
    MessageHubEvents &events_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer silenceTimer_;
    boost::asio::steady_timer acceptTimer_;
    absl::btree_map<std::string, std::unique_ptr<Target>> targets_;
    absl::btree_map<Incarnation, std::shared_ptr<Link>> peers_;
    std::vector<std::shared_ptr<Link>> unnamed_; ///< Accepted links without a hello yet.
    absl::btree_map<Incarnation, repeat::Frame> pending_;
    bool flushScheduled_ = false;
};

}
