/** @file config_watcher.h Follows the operators' configuration in a shared table. */

#pragma once

#include "repeatable/event_log.h"
#include "table/shared_table.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

namespace medlarmill
{

/** Reads one row and every change of it. */
class ConfigWatcher
{
public:
    using OnDocument = std::function<void(const std::string &)>; ///< Gets the newest document of each answer, once.

    /** Where the configuration lies. */
    struct Place
    {
        std::string table; ///< Table.
        std::string key; ///< Row.
    };

    /** @param context the loop. @param table the tables. @param place the row. @param log receives lost and regained access. @param
     * onDocument gets documents. */
    ConfigWatcher(boost::asio::io_context &context, SharedTable &table, Place place, EventLog &log, OnDocument onDocument);

    /** Begins. */
    void start();

private:
    void list();
    void watch();
    void take(const SharedRows &rows);
    void onFailure(const absl::Status &status);

    SharedTable &table_;
    Place place_;
    EventLog &log_;
    OnDocument onDocument_;
    boost::asio::steady_timer timer_;
    std::uint64_t since_ = 0;
    std::uint64_t takenVersion_ = 0; ///< Version of the row that was passed on last.
    int failures_ = 0;
};

}
