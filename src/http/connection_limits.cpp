/** @file connection_limits.cpp Decides which connections a process keeps. */

#include "http/connection_limits.h"

#include <algorithm>

namespace medlarmill
{

namespace
{

constexpr std::size_t DEFAULT_MAX_FDS = 4'096; ///< Gives callers about the 3,000 connections that they have without a setting.
constexpr std::size_t OTHER_PART = 4; ///< A quarter of the descriptors is for links, tables and logs: 768 of 3,075.
constexpr std::size_t LEAST_OTHER = 32; ///< The process itself has about 15 open, and a link to each entry.
constexpr std::size_t RESERVED_PART = 8; ///< Of the connections, for readiness and operators.
constexpr std::size_t LEAST_RESERVED = 16; ///< Several balancers, each with some connections.
constexpr Duration STALL = Millis(1'000); ///< Longer than the retransmissions of a healthy connection.

}

ConnectionLimitSettings connectionLimitsFor(std::size_t maxFds)
{
    const std::size_t descriptors = maxFds == 0 ? DEFAULT_MAX_FDS : maxFds;
    const std::size_t other = std::max(LEAST_OTHER, descriptors / OTHER_PART);
    const std::size_t total = descriptors > other + LEAST_RESERVED ? descriptors - other : LEAST_RESERVED + 1;
    ConnectionLimitSettings settings;
    settings.reserved = std::max(LEAST_RESERVED, total / RESERVED_PART);
    settings.ordinary = total - settings.reserved;
    return settings;
}

ConnectionLimits::ConnectionLimits(ConnectionLimitSettings settings)
    : settings_(settings)
{ }

std::size_t ConnectionLimits::limitOf(PortClass portClass) const
{
    return portClass == PortClass::Ordinary ? settings_.ordinary : settings_.reserved;
}

std::size_t ConnectionLimits::count(PortClass portClass) const
{
    return portClass == PortClass::Ordinary ? ordinary_ : reserved_;
}

bool ConnectionLimits::hasRoom(PortClass portClass) const
{
    return count(portClass) < limitOf(portClass);
}

void ConnectionLimits::add(ConnectionId id, PortClass portClass, std::uint64_t client, Instant now)
{
    connections_[id] = {portClass, ConnectionState::Idle, client, now};
    ++(portClass == PortClass::Ordinary ? ordinary_ : reserved_);
}

void ConnectionLimits::setState(ConnectionId id, ConnectionState state, Instant now)
{
    const auto found = connections_.find(id);
    if (found != connections_.end()) {
        found->second.state = state;
        found->second.since = now;
    }
}

void ConnectionLimits::onProgress(ConnectionId id, Instant now)
{
    const auto found = connections_.find(id);
    if (found != connections_.end()) {
        found->second.since = now;
    }
}

void ConnectionLimits::remove(ConnectionId id)
{
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    --(found->second.portClass == PortClass::Ordinary ? ordinary_ : reserved_);
    connections_.erase(found);
}

std::optional<std::uint64_t> ConnectionLimits::heaviestClient(PortClass portClass) const
{
    absl::flat_hash_map<std::uint64_t, std::size_t> counts;
    for (const auto &[id, connection] : connections_) {
        if (connection.portClass == portClass && ++counts[connection.client] > limitOf(portClass) / 2) {
            return connection.client;
        }
    }
    return std::nullopt;
}

std::optional<ConnectionId> ConnectionLimits::oldest(PortClass portClass, ConnectionState state, Instant before,
                                                     std::optional<std::uint64_t> client) const
{
    std::optional<ConnectionId> chosen;
    Instant since = before;
    for (const auto &[id, connection] : connections_) {
        if (connection.portClass != portClass || connection.state != state || (client.has_value() && connection.client != *client)) {
            continue;
        }
        const bool isOlder = connection.since < since || (chosen.has_value() && connection.since == since && id < *chosen);
        if (isOlder) {
            chosen = id;
            since = connection.since;
        }
    }
    return chosen;
}

std::optional<ConnectionId> ConnectionLimits::chooseForNewcomer(PortClass portClass, Instant now) const
{
    const std::optional<std::uint64_t> heaviest = heaviestClient(portClass);
    for (const std::optional<std::uint64_t> &client : {heaviest, std::optional<std::uint64_t>()}) {
        if (const auto idle = oldest(portClass, ConnectionState::Idle, now, client)) {
            return idle;
        }
        if (const auto stalled = oldest(portClass, ConnectionState::Receiving, now - STALL, client)) {
            return stalled;
        }
    }
    return std::nullopt;
}

std::optional<ConnectionId> ConnectionLimits::chooseStalled(PortClass portClass, Instant now) const
{
    return oldest(portClass, ConnectionState::Receiving, now - STALL, std::nullopt);
}

}
