/** @file shared_table.h Rows that outlive every process of ours, as the single-threaded processes use them. */

#pragma once

#include "core/time_type.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace medlarmill
{

/** A row of a shared table. */
struct SharedRow
{
    std::string key; ///< Names the row within its table.
    std::string value; ///< Content.
    std::uint64_t version = 0; ///< Grows over all rows with each change.
    bool removed = false; ///< Whether the change removed the row.
};

/** Rows, or changes of rows. */
struct SharedRows
{
    std::vector<SharedRow> rows; ///< By key, or by version for changes.
    std::uint64_t version = 0; ///< Newest version of the table service when they were read.
    std::uint64_t clockMs = 0; ///< Steady clock of the table service, in ms.
    bool isPartial = false; ///< The service has more rows than it sent; what is missing here may exist.
};

/** Asynchronous access to the platform's tables. All callbacks run on the loop of the process. */
class SharedTable
{
public:
    using RowsDone = std::function<void(absl::StatusOr<SharedRows>)>; ///< Gets rows; Unavailable without an answer.
    using Done = std::function<void(absl::Status)>; ///< Gets the result; Unavailable when it is not known whether it was done.

    virtual ~SharedTable() = default;

    /** Reads all rows of a table. @param table the table. @param done gets them. */
    virtual void list(const std::string &table, RowsDone done) = 0;

    /** Waits for changes of a table. @param table the table. @param since version after which. @param wait how long. @param done gets the
     * changes, none when there were none; OutOfRange when the history does not reach back to `since`. */
    virtual void watch(const std::string &table, std::uint64_t since, Millis wait, RowsDone done) = 0;

    /** Writes a row. @param table the table. @param key the row. @param value its content. @param done gets the result. */
    virtual void put(const std::string &table, const std::string &key, const std::string &value, Done done) = 0;

    /** Removes a row. @param table the table. @param key the row. @param done gets the result. */
    virtual void remove(const std::string &table, const std::string &key, Done done) = 0;
};

}
