/** @file link_hub.cpp Connections between our own processes. */

#include "net/link_hub.h"

#include "net/address.h"
#include "net/link_connection.h"
#include "net/listen_func.h"

#include <algorithm>
#include <fmt/format.h>

namespace medlarmill
{

namespace
{

constexpr Duration FIRST_REDIAL = Millis(50); ///< Pause after the first failed attempt.
constexpr int MAX_REDIAL_DOUBLINGS = 5; ///< The pause doubles so many times at most.
constexpr Duration ACCEPT_PAUSE = Millis(50); ///< Pause after a failed accept.
constexpr Duration OVERFLOW_RETRY = Millis(1); ///< Pause before a full ring is tried again.
constexpr Duration STOP_PATIENCE = Millis(500); ///< Time to write what was queued when the process stops.

}

LinkHub::LinkHub(Settings settings, Doorbell &reader)
    : settings_(std::move(settings))
    , work_(boost::asio::make_work_guard(context_))
    , acceptor_(context_)
    , events_(settings_.ringCapacity, reader)
    , commandBell_(context_,
                   [this] {
                       drainCommands();
                   })
    , commands_(settings_.ringCapacity, commandBell_)
    , acceptTimer_(context_)
    , overflowTimer_(context_)
{ }

LinkHub::~LinkHub()
{
    stop();
}

absl::Status LinkHub::listen(const boost::asio::ip::tcp::endpoint &address)
{
    absl::Status status = listenOn(acceptor_, address);
    if (status.ok()) {
        accept();
    }
    return status;
}

void LinkHub::start()
{
    thread_ = std::thread([this] {
        context_.run();
    });
}

void LinkHub::stop()
{
    if (!thread_.joinable()) {
        return;
    }
    boost::asio::post(context_, [this] {
        drainCommands();
        auto timer = std::make_shared<boost::asio::steady_timer>(context_, STOP_PATIENCE);
        timer->async_wait([this, timer](boost::system::error_code) {
            context_.stop();
        });
        const bool flushed = std::ranges::all_of(routes_, [](const auto &route) {
            return route.second->isFlushed();
        });
        if (flushed) {
            context_.stop();
        }
    });
    thread_.join();
}

void LinkHub::accept()
{
    acceptor_.async_accept([this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (error) {
            // Without descriptors the next accept would fail at once.
            acceptTimer_.expires_after(ACCEPT_PAUSE);
            acceptTimer_.async_wait([this](boost::system::error_code timerError) {
                if (!timerError && acceptor_.is_open()) {
                    accept();
                }
            });
            return;
        }
        if (accepted_ < settings_.maxConnections) {
            ++accepted_;
            std::make_shared<LinkConnection>(*this, std::move(socket), "")->start();
        }
        accept();
    });
}

void LinkHub::drainCommands()
{
    while (auto command = commands_.tryPop()) {
        switch (command->kind) {
        case LinkCommandKind::Send:
            send(*command);
            break;
        case LinkCommandKind::Reset: {
            const auto route = routes_.find(command->receiver);
            if (route != routes_.end()) {
                const auto connection = route->second;
                connection->close();
            }
            break;
        }
        case LinkCommandKind::SetTargets:
            setTargets(command->targets);
            break;
        }
    }
}

void LinkHub::send(LinkCommand &command)
{
    const auto route = routes_.find(command.receiver);
    if (route != routes_.end()) {
        const auto connection = route->second;
        connection->send(std::move(command.messages));
    }
}

void LinkHub::setTargets(const std::vector<std::string> &addresses)
{
    for (auto &[address, target] : targets_) {
        target->wanted = std::ranges::find(addresses, address) != addresses.end();
    }
    for (const std::string &address : addresses) {
        if (targets_.contains(address)) {
            continue;
        }
        auto target = std::make_unique<Target>();
        target->address = address;
        target->timer = std::make_unique<boost::asio::steady_timer>(context_);
        targets_.emplace(address, std::move(target));
        dial(address);
    }
}

void LinkHub::dial(const std::string &address)
{
    const auto found = targets_.find(address);
    if (found == targets_.end() || !found->second->wanted) {
        if (found != targets_.end()) {
            targets_.erase(found);
        }
        return;
    }
    const auto endpoint = parseAddress(address);
    if (!endpoint.ok()) {
        return;
    }
    Target &target = *found->second;
    target.connection = std::make_shared<LinkConnection>(*this, boost::asio::ip::tcp::socket(context_), address);
    target.connection->connect(*endpoint);
}

void LinkHub::redialLater(Target &target)
{
    const Duration pause = FIRST_REDIAL * (1 << std::min(target.failures, MAX_REDIAL_DOUBLINGS));
    ++target.failures;
    target.timer->expires_after(pause);
    target.timer->async_wait([this, address = target.address](boost::system::error_code error) {
        if (!error) {
            dial(address);
        }
    });
}

void LinkHub::onHello(const std::shared_ptr<LinkConnection> &connection, const wire::Message &hello)
{
    const bool isDialed = !connection->target().empty();
    const bool fromAgent = hello.has_agent_hello();
    if (!fromAgent && !hello.has_peer_hello()) {
        connection->close();
        return;
    }
    const Incarnation peer = toIncarnation(fromAgent ? hello.agent_hello().incarnation() : hello.peer_hello().incarnation());
    connection->identify(peer, fromAgent);
    if (!isDialed) {
        connection->send({settings_.hello()});
    }
    if (peer == settings_.self) {
        if (isDialed) {
            targets_[connection->target()]->isSelf = true;
        }
        connection->close();
        return;
    }
    if (!isDialed && !fromAgent) {
        return; // Another entry dialed us: this connection only receives.
    }
    const auto earlier = routes_.find(peer);
    if (earlier != routes_.end()) {
        const auto old = earlier->second;
        old->close();
    }
    routes_[peer] = connection;
    if (isDialed) {
        targets_[connection->target()]->failures = 0;
    }
    auto event = std::make_unique<LinkEvent>();
    event->kind = isDialed ? LinkEventKind::DialedUp : LinkEventKind::AgentUp;
    event->sender = peer;
    event->fromAgent = fromAgent;
    event->hello = hello;
    pushEventRetrying(std::move(event));
}

void LinkHub::onClosed(const std::shared_ptr<LinkConnection> &connection)
{
    const bool isDialed = !connection->target().empty();
    accepted_ -= isDialed ? 0 : 1;
    const auto route = routes_.find(connection->peer());
    if (route != routes_.end() && route->second == connection) {
        routes_.erase(route);
        auto event = std::make_unique<LinkEvent>();
        event->kind = isDialed ? LinkEventKind::DialedDown : LinkEventKind::AgentDown;
        event->sender = connection->peer();
        pushEventRetrying(std::move(event));
    }
    const auto target = targets_.find(connection->target());
    if (isDialed && target != targets_.end() && target->second->connection == connection) {
        target->second->connection.reset();
        if (!target->second->isSelf) {
            redialLater(*target->second);
        }
    }
}

bool LinkHub::pushEvent(std::unique_ptr<LinkEvent> &event)
{
    return events_.tryPush(event);
}

void LinkHub::pushEventRetrying(std::unique_ptr<LinkEvent> event)
{
    if (overflow_.empty() && pushEvent(event)) {
        return;
    }
    const bool isFirst = overflow_.empty();
    overflow_.push_back(std::move(event));
    if (isFirst) {
        retryOverflow();
    }
}

void LinkHub::retryOverflow()
{
    while (!overflow_.empty() && pushEvent(overflow_.front())) {
        overflow_.pop_front();
    }
    if (overflow_.empty()) {
        const auto paused = std::move(paused_);
        paused_.clear();
        for (const std::weak_ptr<LinkConnection> &waiting : paused) {
            if (const auto connection = waiting.lock()) {
                connection->resume();
            }
        }
        return;
    }
    overflowTimer_.expires_after(OVERFLOW_RETRY);
    overflowTimer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            retryOverflow();
        }
    });
}

}
