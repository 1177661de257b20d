/** @file message_hub.cpp Links of the single-threaded processes. */

#include "net/message_hub.h"

#include "net/address.h"
#include "net/listen_func.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace medlarmill
{

namespace
{

constexpr Duration FIRST_REDIAL = Millis(30); ///< Pause before the second attempt; it doubles.
constexpr Duration LONGEST_REDIAL = Millis(400); ///< Longest pause between attempts.
constexpr Duration CONNECT_LIMIT = Millis(400); ///< Time for a connection to open.
constexpr Duration SILENCE_CHECK = Millis(200); ///< Time between checks for silent links.
constexpr Duration ACCEPT_PAUSE = Millis(50); ///< After a failed accept, which would fail again at once without descriptors.
constexpr std::size_t MAX_UNNAMED
    = 256; ///< Accepted links without a hello; one comes within a round trip, and all agents dial after a start.
constexpr unsigned USER_TIMEOUT_MS = 1'500; ///< Sent bytes are acknowledged within this time, or the link is closed.

}

struct MessageHub::Link
{
    std::shared_ptr<FrameSocket> socket;
    std::string target; ///< Dialed address; empty when accepted.
    Incarnation peer = INVALID_INCARNATION;
    Instant heardAt;
};

struct MessageHub::Target
{
    explicit Target(boost::asio::io_context &context)
        : timer(context)
    { }

    std::optional<boost::asio::ip::tcp::socket> socket; ///< While connecting.
    boost::asio::steady_timer timer;
    std::shared_ptr<Link> link;
    Incarnation lastPeer = INVALID_INCARNATION; ///< Process that answered there last.
    std::uint64_t attempt = 0;
    int failures = 0;
    Instant answeredAt; ///< When it answered last, or was named.
};

MessageHub::MessageHub(boost::asio::io_context &context, Settings settings, MessageHubEvents &events)
    : context_(context)
    , settings_(std::move(settings))
    , events_(events)
    , acceptor_(context)
    , silenceTimer_(context)
    , acceptTimer_(context)
{
    checkSilence();
}

MessageHub::~MessageHub()
{
    for (auto &[incarnation, link] : peers_) {
        link->socket->close();
    }
}

absl::Status MessageHub::listen(const boost::asio::ip::tcp::endpoint &address)
{
    absl::Status status = listenOn(acceptor_, address);
    if (status.ok()) {
        accept();
    }
    return status;
}

void MessageHub::accept()
{
    acceptor_.async_accept([this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
        if (!acceptor_.is_open()) {
            return;
        }
        if (error) {
            acceptTimer_.expires_after(ACCEPT_PAUSE);
            acceptTimer_.async_wait([this](boost::system::error_code timerError) {
                if (!timerError && acceptor_.is_open()) {
                    accept();
                }
            });
            return;
        }
        if (unnamed_.size() < MAX_UNNAMED) {
            const auto link = std::make_shared<Link>();
            unnamed_.push_back(link);
            attach(link, std::move(socket));
            repeat::Frame frame;
            *frame.add_messages() = settings_.hello();
            link->socket->send(frame.SerializeAsString());
        }
        accept();
    });
}

void MessageHub::attach(const std::shared_ptr<Link> &link, boost::asio::ip::tcp::socket socket)
{
    setUserTimeout(socket, USER_TIMEOUT_MS);
    link->heardAt = ProcessClock::now();
    link->socket = std::make_shared<FrameSocket>(std::move(socket));
    FrameSocketEvents events;
    events.onFrame = [this, weak = std::weak_ptr(link)](std::string_view bytes) {
        if (const auto open = weak.lock()) {
            onFrame(open, bytes);
        }
    };
    events.onClosed = [this, weak = std::weak_ptr(link)] {
        if (const auto open = weak.lock()) {
            onClosed(open);
        }
    };
    link->socket->start(std::move(events));
}

void MessageHub::setTargets(const std::vector<std::string> &addresses)
{
    for (const std::string &address : addresses) {
        if (address == settings_.ownAddress || targets_.contains(address)) {
            continue;
        }
        targets_[address] = std::make_unique<Target>(context_);
        targets_[address]->answeredAt = ProcessClock::now();
        dial(address);
    }
    std::vector<std::string> unwanted;
    for (const auto &[address, target] : targets_) {
        if (std::ranges::find(addresses, address) == addresses.end() && target->link == nullptr) {
            unwanted.push_back(address);
        }
    }
    for (const std::string &address : unwanted) {
        targets_.erase(address);
    }
}

void MessageHub::dropTarget(const std::string &address)
{
    const auto found = targets_.find(address);
    if (found == targets_.end()) {
        return;
    }
    if (const std::shared_ptr<Link> link = found->second->link) {
        const auto peer = peers_.find(link->peer);
        if (peer != peers_.end() && peer->second == link) {
            peers_.erase(peer);
            pending_.erase(link->peer);
        }
        link->socket->close();
    }
    targets_.erase(found);
}

void MessageHub::dial(const std::string &address)
{
    Target &target = *targets_.at(address);
    const auto endpoint = parseAddress(address);
    if (!endpoint.ok()) {
        return;
    }
    const std::uint64_t attempt = ++target.attempt;
    target.socket.emplace(context_);
    target.socket->async_connect(*endpoint, [this, address, attempt](boost::system::error_code error) {
        onConnected(address, attempt, error);
    });
    target.timer.expires_after(CONNECT_LIMIT);
    target.timer.async_wait([this, address, attempt](boost::system::error_code error) {
        if (!error) {
            onConnected(address, attempt, boost::asio::error::timed_out);
        }
    });
}

void MessageHub::onConnected(const std::string &address, std::uint64_t attempt, boost::system::error_code error)
{
    const auto found = targets_.find(address);
    if (found == targets_.end() || found->second->attempt != attempt || !found->second->socket.has_value()) {
        return;
    }
    Target &target = *found->second;
    boost::asio::ip::tcp::socket socket = std::move(*target.socket);
    target.socket.reset();
    target.timer.cancel();
    if (error) {
        boost::system::error_code ignored;
        socket.close(ignored);
        if (error == boost::asio::error::connection_refused && target.lastPeer != INVALID_INCARNATION) {
            events_.onLinkDown(std::exchange(target.lastPeer, INVALID_INCARNATION), true);
        }
        redial(address, true);
        return;
    }
    target.link = std::make_shared<Link>();
    target.link->target = address;
    attach(target.link, std::move(socket));
}

void MessageHub::redial(const std::string &address, bool failed)
{
    Target &target = *targets_.at(address);
    target.failures = failed ? target.failures + 1 : 0;
    if (!failed) {
        target.answeredAt = ProcessClock::now();
    } else if (target.answeredAt + settings_.forgetAfter < ProcessClock::now()) {
        events_.onTargetForgotten(address);
        targets_.erase(address);
        return;
    }
    const Duration pause = std::min(LONGEST_REDIAL, FIRST_REDIAL * (1 << std::min(target.failures, 5)));
    target.timer.expires_after(target.failures == 0 ? Duration(0) : pause);
    target.timer.async_wait([this, address](boost::system::error_code error) {
        if (!error && targets_.contains(address)) {
            dial(address);
        }
    });
}

bool MessageHub::identify(const std::shared_ptr<Link> &link, const repeat::Message &hello)
{
    if (hello.has_entry_hello()) {
        link->peer = toIncarnation(hello.entry_hello().incarnation());
    } else if (hello.has_agent_hello()) {
        link->peer = toIncarnation(hello.agent_hello().incarnation());
    }
    if (link->peer == INVALID_INCARNATION) {
        return false;
    }
    std::erase(unnamed_, link);
    const auto old = peers_.find(link->peer);
    if (old != peers_.end()) {
        old->second->socket->close();
        events_.onLinkDown(link->peer, false);
    }
    peers_[link->peer] = link;
    pending_.erase(link->peer);
    if (!link->target.empty()) {
        Target &target = *targets_.at(link->target);
        target.failures = 0;
        if (target.lastPeer != INVALID_INCARNATION && target.lastPeer != link->peer) {
            events_.onLinkDown(target.lastPeer, true);
        }
        target.lastPeer = link->peer;
    }
    events_.onLinkUp(link->peer, hello, !link->target.empty());
    return true;
}

void MessageHub::onFrame(const std::shared_ptr<Link> &link, std::string_view bytes)
{
    link->heardAt = ProcessClock::now();
    repeat::Frame frame;
    if (!frame.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        link->socket->close();
        onClosed(link);
        return;
    }
    for (const repeat::Message &message : frame.messages()) {
        if (link->peer == INVALID_INCARNATION) {
            if (!identify(link, message)) {
                link->socket->close();
                onClosed(link);
                return;
            }
            continue;
        }
        events_.onMessage(link->peer, message);
    }
    events_.onFrameEnd();
}

void MessageHub::onClosed(const std::shared_ptr<Link> &link)
{
    std::erase(unnamed_, link);
    const auto peer = peers_.find(link->peer);
    const bool current = peer != peers_.end() && peer->second == link;
    if (current) {
        peers_.erase(peer);
        pending_.erase(link->peer);
    }
    const auto target = targets_.find(link->target);
    if (target != targets_.end() && target->second->link == link) {
        target->second->link.reset();
        redial(link->target, link->peer == INVALID_INCARNATION);
    }
    if (current) {
        events_.onLinkDown(link->peer, false);
    }
}

void MessageHub::resetLink(Incarnation peer)
{
    const auto found = peers_.find(peer);
    if (found == peers_.end()) {
        return;
    }
    const std::shared_ptr<Link> link = found->second;
    peers_.erase(found);
    pending_.erase(peer);
    link->socket->close();
    const auto target = targets_.find(link->target);
    if (target != targets_.end() && target->second->link == link) {
        target->second->link.reset();
        redial(link->target, false);
    }
}

void MessageHub::sendTo(Incarnation peer, repeat::Message message)
{
    if (!peers_.contains(peer)) {
        return;
    }
    *pending_[peer].add_messages() = std::move(message);
    scheduleFlush();
}

void MessageHub::scheduleFlush()
{
    if (flushScheduled_) {
        return;
    }
    flushScheduled_ = true;
    boost::asio::post(context_, [this] {
        flush();
    });
}

void MessageHub::flush()
{
    flushScheduled_ = false;
    const auto pending = std::exchange(pending_, {});
    for (const auto &[peer, frame] : pending) {
        const auto found = peers_.find(peer);
        if (found != peers_.end()) {
            found->second->socket->send(frame.SerializeAsString());
        }
    }
}

void MessageHub::checkSilence()
{
    const Instant now = ProcessClock::now();
    std::vector<std::shared_ptr<Link>> silent;
    for (const auto &[incarnation, link] : peers_) {
        if (link->heardAt + settings_.silence < now) {
            silent.push_back(link);
        }
    }
    for (const auto &[address, target] : targets_) {
        if (target->link != nullptr && target->link->peer == INVALID_INCARNATION && target->link->heardAt + settings_.silence < now) {
            silent.push_back(target->link);
        }
    }
    for (const auto &link : unnamed_) {
        if (link->heardAt + settings_.silence < now) {
            silent.push_back(link);
        }
    }
    for (const auto &link : silent) {
        link->socket->close();
        onClosed(link);
    }
    silenceTimer_.expires_after(SILENCE_CHECK);
    silenceTimer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            checkSilence();
        }
    });
}

}
