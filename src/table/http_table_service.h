/** @file http_table_service.h The platform's table over HTTP. */

#pragma once

#include "core/time_type.h"
#include "table/table_service.h"

#include <boost/asio/ip/tcp.hpp>

namespace medlarmill
{

/** Client of the platform's table. */
class HttpTableService : public TableService
{
public:
    /** @param server address of the platform. @param timeout time for an answer. */
    HttpTableService(boost::asio::ip::tcp::endpoint server, Duration timeout);

    absl::StatusOr<TableRow> read(const std::string &key) override;
    absl::Status commit(const TableTransaction &transaction) override;

private:
    boost::asio::ip::tcp::endpoint server_;
    Duration timeout_;
};

}
