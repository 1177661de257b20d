/** @file link_hub.h Connections between our own processes: length-prefixed frames over TCP. */

#pragma once

#include "core/counters.h"
#include "net/doorbell.h"
#include "net/link_type.h"
#include "net/ring.h"

#include <absl/container/btree_map.h>
#include <absl/status/status.h>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace medlarmill
{

class LinkConnection;

/**
 * Runs the link thread of a process. Agents dial entries and use that connection both ways. Entries dial each other and send only
 * on the connection they dialed, so that each direction has its own proof of life.
 */
class LinkHub
{
public:
    /** Settings of the hub. */
    struct Settings
    {
        Incarnation self = INVALID_INCARNATION; ///< This process.
        std::function<wire::Message()> hello; ///< Makes the hello of a dialed or accepted connection; called on the link thread.
        std::size_t ringCapacity = 65'536; ///< Items in each ring.
        std::size_t maxConnections = 20'000; ///< Accepted connections at most.
    };

    /** @param settings the settings. @param reader doorbell of the thread that reads events. */
    LinkHub(Settings settings, Doorbell &reader);
    ~LinkHub();
    LinkHub(const LinkHub &) = delete;
    LinkHub &operator=(const LinkHub &) = delete;

    /** Listens for connections. @param address where. @return why it failed. @pre start() was not called. */
    absl::Status listen(const boost::asio::ip::tcp::endpoint &address);

    /** Starts the thread. */
    void start();

    /** Stops the thread after what was queued has been written, or after a short while. */
    void stop();

    /** @return the oldest event, or nullptr. Called by the reading thread only. */
    std::unique_ptr<LinkEvent> nextEvent()
    {
        return events_.tryPop();
    }

    /** Queues a command. @param command the command; kept by the caller when the ring is full. @return false when the ring is full. Called
     * by the reading thread only. */
    bool command(std::unique_ptr<LinkCommand> &command)
    {
        return commands_.tryPush(command);
    }

    /** @return connections closed because the receiver was too slow. */
    std::uint64_t slowReceivers() const
    {
        return slowReceivers_.load();
    }

private:
    friend class LinkConnection;
    struct Target
    {
        std::string address; ///< Where to dial.
        std::shared_ptr<LinkConnection> connection; ///< The present connection, if any.
        std::unique_ptr<boost::asio::steady_timer> timer; ///< Waits before the next attempt.
        int failures = 0; ///< Attempts that failed in a row.
        bool isSelf = false; ///< The address is our own.
        bool wanted = true; ///< Still among the targets.
    };

    void accept();
    void drainCommands();
    void setTargets(const std::vector<std::string> &addresses);
    void dial(const std::string &address);
    void redialLater(Target &target);
    void onHello(const std::shared_ptr<LinkConnection> &connection, const wire::Message &hello);
    void onClosed(const std::shared_ptr<LinkConnection> &connection);
    bool pushEvent(std::unique_ptr<LinkEvent> &event);
    void pushEventRetrying(std::unique_ptr<LinkEvent> event);
    void retryOverflow();
    void send(LinkCommand &command);

    Settings settings_;
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    boost::asio::ip::tcp::acceptor acceptor_;
    BoundedRing<LinkEvent> events_;
    LoopDoorbell commandBell_;
    BoundedRing<LinkCommand> commands_;
    absl::btree_map<std::string, std::unique_ptr<Target>> targets_;
    absl::btree_map<Incarnation, std::shared_ptr<LinkConnection>> routes_;
    std::deque<std::unique_ptr<LinkEvent>>
        overflow_; ///< Events that wait for room in the ring; bounded, since their connections stop reading.
    std::vector<std::weak_ptr<LinkConnection>> paused_; ///< Connections that stopped reading.
    boost::asio::steady_timer acceptTimer_;
    boost::asio::steady_timer overflowTimer_;
    std::size_t accepted_ = 0;
    std::atomic<std::uint64_t> slowReceivers_{0};
    std::thread thread_;
};

}
