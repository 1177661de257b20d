/** @file entry_directory.cpp The addresses of the entries, in a shared table. */

#include "table/entry_directory.h"

#include "http/json_field.h"

#include <fmt/format.h>

namespace medlarmill
{

namespace
{

constexpr char TABLE[] = "medlarmill_entries"; ///< One row for each entry; the key is its address.
constexpr Millis RENEW_INTERVAL{10'000}; ///< Time between renewals of the own row.
constexpr Millis RENEW_RETRY{700}; ///< Pause after a renewal that failed.
constexpr std::uint64_t STALE_MS = 45'000; ///< A row that was not renewed for so long is not used.
constexpr std::uint64_t REMOVE_MS = 120'000; ///< A row that was not renewed for so long is removed.
constexpr Millis READ_LINKED{8'000}; ///< Time between reads while an entry is connected.
constexpr Millis READ_ALONE{700}; ///< Time between reads while none is.

}

EntryDirectory::EntryDirectory(boost::asio::io_context &context, SharedTable &table, std::string ownAddress, EventLog &log)
    : table_(table)
    , ownAddress_(std::move(ownAddress))
    , log_(log)
    , publishTimer_(context)
    , readTimer_(context)
{ }

void EntryDirectory::start(IsLinked isLinked, OnAddresses onAddresses)
{
    isLinked_ = std::move(isLinked);
    onAddresses_ = std::move(onAddresses);
    read();
}

void EntryDirectory::publish()
{
    if (retired_) {
        return;
    }
    const nlohmann::json value = {{"renewed_ms", tableClockMs_}};
    table_.put(TABLE, ownAddress_, value.dump(), [this](const absl::Status &status) {
        if (!status.ok()) {
            log_.info(fmt::format("event=directory_publish_failed error=\"{}\"", std::string(status.message())));
        }
        publishTimer_.expires_after(status.ok() ? RENEW_INTERVAL : RENEW_RETRY);
        publishTimer_.async_wait([this](boost::system::error_code error) {
            if (!error) {
                publish();
            }
        });
    });
}

void EntryDirectory::read()
{
    table_.list(TABLE, [this](const absl::StatusOr<SharedRows> &rows) {
        if (rows.ok()) {
            const bool first = tableClockMs_ == 0;
            take(*rows);
            if (first && !ownAddress_.empty()) {
                publish();
            }
        }
        readTimer_.expires_after(rows.ok() && isLinked_() ? READ_LINKED : READ_ALONE);
        readTimer_.async_wait([this](boost::system::error_code error) {
            if (!error && !retired_) {
                read();
            }
        });
    });
}

void EntryDirectory::take(const SharedRows &rows)
{
    tableClockMs_ = rows.clockMs;
    std::vector<std::string> addresses;
    for (const SharedRow &row : rows.rows) {
        const nlohmann::json value = nlohmann::json::parse(row.value, nullptr, false);
        const std::uint64_t renewed = numberField(value, "renewed_ms");
        const std::uint64_t age = rows.clockMs > renewed ? rows.clockMs - renewed : 0;
        if (age > REMOVE_MS && !ownAddress_.empty() && row.key != ownAddress_) {
            log_.info(fmt::format("event=directory_row_removed address={} age_ms={}", row.key, age));
            table_.remove(TABLE, row.key, [](const absl::Status &) {});
        }
        if (age <= STALE_MS) {
            addresses.push_back(row.key);
        }
    }
    onAddresses_(addresses);
}

void EntryDirectory::retire()
{
    retired_ = true;
    publishTimer_.cancel();
    readTimer_.cancel();
    if (!ownAddress_.empty()) {
        table_.remove(TABLE, ownAddress_, [](const absl::Status &) {});
    }
}

}
