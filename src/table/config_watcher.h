/** @file config_watcher.h Follows the operators' rows in a shared table: the configuration, and rows whose presence is a switch. */

#pragma once

#include "repeatable/event_log.h"
#include "table/shared_table.h"

#include <absl/container/btree_set.h>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

namespace medlarmill
{

/** Names of the rows with the watched key prefix, or changes of them. */
struct SwitchRows
{
    std::uint64_t version = 0; ///< Version of the table service at the read.
    bool isWhole = false; ///< `present` names all such rows; otherwise rows that are not named are as they were.
    absl::btree_set<std::string> present; ///< Rows that exist, without the prefix.
    absl::btree_set<std::string> removed; ///< Rows that were removed, without the prefix.
};

/** Reads one row, the names of the rows with a key prefix, and every change of both, by the same calls: the table service is paid by the
 * call. */
class ConfigWatcher
{
public:
    using OnDocument = std::function<void(const std::string &)>; ///< Gets the newest document of each answer, once.

    using OnSwitches = std::function<void(const SwitchRows &)>; ///< Gets the rows of each answer, also when none has changed.

    /** Where the rows lie. */
    struct Place
    {
        std::string table; ///< Table.
        std::string key; ///< Row of the configuration.
        std::string switchPrefix; ///< Begins the keys of the rows whose presence is a switch; empty for none.
    };

    /** @param context the loop. @param table the tables. @param place the rows. @param log receives lost and regained access. @param
     * onDocument gets documents. @param onSwitches gets the rows with the prefix. */
    ConfigWatcher(boost::asio::io_context &context, SharedTable &table, Place place, EventLog &log, OnDocument onDocument,
                  OnSwitches onSwitches);

    /** Begins. */
    void start();

private:
    void list();
    void watch();
    void take(const SharedRows &rows, bool isList);
    void takeSwitches(const SharedRows &rows, bool isList);
    void onFailure(const absl::Status &status);

    SharedTable &table_;
    Place place_;
    EventLog &log_;
    OnDocument onDocument_;
    OnSwitches onSwitches_;
    boost::asio::steady_timer timer_;
    std::uint64_t since_ = 0;
    std::uint64_t takenVersion_ = 0; ///< Version of the row that was passed on last.
    int failures_ = 0;
};

}
