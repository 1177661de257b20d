/** @file config_watcher.cpp Follows the operators' rows in a shared table. */

#include "table/config_watcher.h"

#include <absl/container/btree_map.h>
#include <algorithm>
#include <fmt/format.h>

namespace medlarmill
{

namespace
{

constexpr Millis WATCH_WAIT{1'000}; ///< A watch answers after so long without a change; bounds the time on a silent connection.
constexpr Millis FIRST_PAUSE{100}; ///< Pause after the first failure; it doubles.
constexpr Millis LONGEST_PAUSE{800}; ///< Longest pause; a change has to be in force within 2 s.

}

ConfigWatcher::ConfigWatcher(boost::asio::io_context &context, SharedTable &table, Place place, EventLog &log, OnDocument onDocument,
                             OnSwitches onSwitches)
    : table_(table)
    , place_(std::move(place))
    , log_(log)
    , onDocument_(std::move(onDocument))
    , onSwitches_(std::move(onSwitches))
    , timer_(context)
{ }

void ConfigWatcher::start()
{
    list();
}

void ConfigWatcher::list()
{
    table_.list(place_.table, [this](const absl::StatusOr<SharedRows> &rows) {
        if (!rows.ok()) {
            onFailure(rows.status());
            return;
        }
        take(*rows, true);
        watch();
    });
}

void ConfigWatcher::watch()
{
    table_.watch(place_.table, since_, WATCH_WAIT, [this](const absl::StatusOr<SharedRows> &rows) {
        if (absl::IsOutOfRange(rows.status())) {
            log_.info(fmt::format("event=config_history_gone since={}", since_));
            list();
            return;
        }
        if (!rows.ok()) {
            onFailure(rows.status());
            return;
        }
        take(*rows, false);
        watch();
    });
}

void ConfigWatcher::take(const SharedRows &rows, bool isList)
{
    if (failures_ > 0) {
        log_.info(fmt::format("event=table_regained failures={} version={}", failures_, rows.version));
        failures_ = 0;
    }
    since_ = std::max(since_, rows.version);
    const SharedRow *newest = nullptr;
    for (const SharedRow &row : rows.rows) {
        if (row.key != place_.key || row.removed || row.version <= takenVersion_) {
            continue;
        }
        if (newest == nullptr || row.version > newest->version) {
            newest = &row;
        }
    }
    if (newest != nullptr) {
        takenVersion_ = newest->version;
        onDocument_(newest->value);
    }
    takeSwitches(rows, isList);
}

void ConfigWatcher::takeSwitches(const SharedRows &rows, bool isList)
{
    if (place_.switchPrefix.empty()) {
        return;
    }
    // A list that the service cut off does not show that a row is gone, so it counts as a set of changes.
    SwitchRows switches{rows.version, isList && !rows.isPartial, {}, {}};
    absl::btree_map<std::string, const SharedRow *> newest;
    for (const SharedRow &row : rows.rows) {
        if (!row.key.starts_with(place_.switchPrefix) || row.key.size() == place_.switchPrefix.size()) {
            continue;
        }
        const SharedRow *&known = newest[row.key.substr(place_.switchPrefix.size())];
        if (known == nullptr || row.version >= known->version) {
            known = &row;
        }
    }
    for (const auto &[name, row] : newest) {
        (row->removed ? switches.removed : switches.present).insert(name);
    }
    onSwitches_(switches);
}

void ConfigWatcher::onFailure(const absl::Status &status)
{
    if (failures_ == 0) {
        log_.warn(fmt::format("event=table_lost error=\"{}\"", std::string(status.message())));
    }
    const Millis pause = std::min(LONGEST_PAUSE, FIRST_PAUSE * (1 << std::min(failures_, 3)));
    ++failures_;
    timer_.expires_after(pause);
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            list();
        }
    });
}

}
