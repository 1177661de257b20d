/** @file http_resources.h What the HTTP servers of a process share: memory, connections, counts and log lines. */

#pragma once

#include "core/counters.h"
#include "http/connection_limits.h"
#include "http/memory_budget.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace medlarmill
{

/** A connection that can be closed in favour of another. */
class EvictableConnection
{
public:
    virtual ~EvictableConnection() = default;

    /** Closes the connection. @param reason why, for the counters. */
    virtual void evict(std::string_view reason) = 0;
};

/** Shared by the servers on one loop. */
class HttpResources
{
public:
    using LogLine = std::function<void(std::string_view)>; ///< Writes a line; does not block.

    /** @param memory sizes. @param connections numbers. @param log writes lines; may be empty. */
    HttpResources(MemoryBudgetSettings memory, ConnectionLimitSettings connections, LogLine log);

    /** @return the memory. */
    MemoryBudget &memory()
    {
        return memory_;
    }

    /** @return the connections. */
    ConnectionLimits &connections()
    {
        return connections_;
    }

    /** Adds an open connection. @param connection the connection; must be removed at its end. @param portClass class of its port. @param
     * client key of the client's address. @return its id. */
    ConnectionId add(EvictableConnection &connection, PortClass portClass, std::uint64_t client);

    /** Removes a connection. @param id its id. */
    void remove(ConnectionId id);

    /** Closes a connection that may give way if there is no room for another. @param portClass class of the other's port. @return whether
     * there is room now. */
    bool makeRoomForConnection(PortClass portClass);

    /** Raises a charge, in exchange for connections that stall within a request if need be. @param charge the charge. @param bytes its new
     * value. @param portClass class of its port. @param self the connection that needs it, which is not closed. @return whether it was
     * raised. */
    [[nodiscard]] bool raise(MemoryCharge &charge, std::uint64_t bytes, PortClass portClass, ConnectionId self);

    /** Counts a refusal or a closed connection, and writes at most one line a reason and second. @param port the port. @param reason why.
     */
    void count(PortId port, std::string_view reason);

    /** @return the counters. */
    const Counters &counters() const
    {
        return counters_;
    }

    /** Reads the present values. @param gauge gets name with labels, and value. */
    void readGauges(const std::function<void(std::string_view, double)> &gauge) const;

private:
    struct Reason
    {
        Instant lastLine; ///< When a line was written.
        std::uint64_t unwritten = 0; ///< Events since.
        bool written = false; ///< A line was written.
    };

    MemoryBudget memory_;
    ConnectionLimits connections_;
    LogLine log_;
    Counters counters_;
    NameMap<Reason> reasons_;
    absl::flat_hash_map<ConnectionId, EvictableConnection *> open_;
    std::uint64_t nextId_ = 1;
};

}
