/** @file connection_limits.h Decides which connections a process keeps: pools by class of port, and whom a newcomer replaces. */

#pragma once

#include "core/time_type.h"
#include "http/memory_budget.h"

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace medlarmill
{

/** Identifies an open connection within a process. */
enum class ConnectionId : std::uint64_t {};

/** What a connection does. */
enum class ConnectionState : std::uint8_t {
    Idle, ///< Nothing of a request has arrived.
    Receiving, ///< A part of a request has.
    Waiting, ///< Its client waits for an answer.
    Sending, ///< An answer is being written.
};

/** Numbers of connections. */
struct ConnectionLimitSettings
{
    std::size_t ordinary = 2'688; ///< On ordinary ports together.
    std::size_t reserved = 384; ///< On reserved ports together; ordinary ports cannot use them.
};

/** @param maxFds descriptors of the process; 0 when the settings name none. @return the connections that leave enough of them for links,
 * tables and logs. */
ConnectionLimitSettings connectionLimitsFor(std::size_t maxFds);

/** Keeps account of connections. Has no sockets and no clock; used by one thread. */
class ConnectionLimits
{
public:
    /** @param settings the numbers. */
    explicit ConnectionLimits(ConnectionLimitSettings settings);

    /** @param portClass class of the port. @return whether a further connection is within the limit. */
    bool hasRoom(PortClass portClass) const;

    /** Adds a connection. @param id its id. @param portClass class of its port. @param client key of the client's address. @param now
     * current time. */
    void add(ConnectionId id, PortClass portClass, std::uint64_t client, Instant now);

    /** A connection does something else. @param id its id. @param state what. @param now current time. */
    void setState(ConnectionId id, ConnectionState state, Instant now);

    /** Bytes arrived on a connection. @param id its id. @param now current time. */
    void onProgress(ConnectionId id, Instant now);

    /** Removes a connection. @param id its id. */
    void remove(ConnectionId id);

    /** Chooses a connection that gives way to a newcomer: the oldest idle one, else the one that stalls longest within a request. A client
     * address that has more than half of the pool gives way first. @param portClass class of the newcomer's port. @param now current time.
     * @return it, or nullopt: connections that wait for an answer, or are being answered, stay. */
    std::optional<ConnectionId> chooseForNewcomer(PortClass portClass, Instant now) const;

    /** Chooses a connection whose memory is needed. @param portClass class of the port that needs it. @param now current time. @return the
     * one that stalls longest within a request, or nullopt. */
    std::optional<ConnectionId> chooseStalled(PortClass portClass, Instant now) const;

    /** @param portClass a class. @return number of its connections. */
    std::size_t count(PortClass portClass) const;

private:
    struct Connection
    {
        PortClass portClass = PortClass::Ordinary; ///< Class of its port.
        ConnectionState state = ConnectionState::Idle; ///< What it does.
        std::uint64_t client = 0; ///< Key of the client's address.
        Instant since; ///< Since when it is idle, or when bytes arrived last.
    };

    std::size_t limitOf(PortClass portClass) const;
    std::optional<std::uint64_t> heaviestClient(PortClass portClass) const;
    std::optional<ConnectionId> oldest(PortClass portClass, ConnectionState state, Instant before,
                                       std::optional<std::uint64_t> client) const;

    ConnectionLimitSettings settings_;
    absl::flat_hash_map<ConnectionId, Connection> connections_;
    std::size_t ordinary_ = 0;
    std::size_t reserved_ = 0;
};

}
