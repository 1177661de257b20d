/** @file table_service.h The platform's transactional table, as we use it. */

#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarmill
{

/** A row with its version; the version grows with each write of the row. */
struct TableRow
{
    std::uint64_t version = 0; ///< 0 when the row does not exist.
    std::string value; ///< Content.
};

/** One write of a transaction. */
struct TableWrite
{
    std::string key; ///< Row.
    std::string value; ///< New content.
};

/** Requires that a row has a version. */
struct TableCheck
{
    std::string key; ///< Row.
    std::uint64_t version = 0; ///< Version it must have; 0 when it must not exist.
};

/** Writes that happen together, or not at all. */
struct TableTransaction
{
    std::vector<TableCheck> checks; ///< Conditions.
    std::vector<TableWrite> writes; ///< Writes.
};

/** The platform's transactional table. */
class TableService
{
public:
    virtual ~TableService() = default;

    /** Reads a row. @param key the row. @return the row; Unavailable when the platform does not answer. */
    virtual absl::StatusOr<TableRow> read(const std::string &key) = 0;

    /** Commits a transaction. @param transaction the transaction. @return OK; Aborted when a check failed; Unavailable when there was no
     * answer: the writes may have taken effect. */
    virtual absl::Status commit(const TableTransaction &transaction) = 0;
};

constexpr char ROSTER_KEY[] = "roster"; ///< Row of the entry roster; a cell's name follows after a slash.
constexpr char CONFIG_HEAD_KEY[] = "config/head"; ///< Row with the version and change id of the newest configuration.
constexpr char CONFIG_SNAPSHOT_KEY[] = "config/snapshot"; ///< Row with the newest configuration.
constexpr char CONFIG_LOG_PREFIX[] = "config/log/"; ///< Rows with each version's document and change id.

}
