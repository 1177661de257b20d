/** @file entry_directory.h The addresses of the entries, in a shared table. */

#pragma once

#include "repeatable/event_log.h"
#include "table/shared_table.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>
#include <vector>

namespace medlarmill
{

/** Publishes the own address, if any, and reads those of the others. */
class EntryDirectory
{
public:
    using OnAddresses = std::function<void(const std::vector<std::string> &)>; ///< Gets all addresses that were renewed of late.
    using IsLinked = std::function<bool()>; ///< Tells whether any entry is connected; reads are rare then.

    /** @param context the loop. @param table the tables. @param ownAddress address to publish; empty for an agent. @param log receives
     * failures. */
    EntryDirectory(boost::asio::io_context &context, SharedTable &table, std::string ownAddress, EventLog &log);

    /** Begins. @param isLinked tells whether an entry is connected. @param onAddresses gets addresses. */
    void start(IsLinked isLinked, OnAddresses onAddresses);

    /** Takes the own address out; best effort. */
    void retire();

private:
    void publish();
    void read();
    void take(const SharedRows &rows);

    SharedTable &table_;
    std::string ownAddress_;
    EventLog &log_;
    IsLinked isLinked_;
    OnAddresses onAddresses_;
    boost::asio::steady_timer publishTimer_;
    boost::asio::steady_timer readTimer_;
    std::uint64_t tableClockMs_ = 0;
    bool retired_ = false;
};

}
