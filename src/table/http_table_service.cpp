/** @file http_table_service.cpp The platform's table over HTTP. */

#include "table/http_table_service.h"

#include "http/client.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace medlarmill
{

namespace
{

using nlohmann::json;

constexpr unsigned STATUS_OK = 200;
constexpr unsigned STATUS_NOT_FOUND = 404;
constexpr unsigned STATUS_CONFLICT = 409;

}

HttpTableService::HttpTableService(boost::asio::ip::tcp::endpoint server, Duration timeout)
    : server_(std::move(server))
    , timeout_(timeout)
{ }

absl::StatusOr<TableRow> HttpTableService::read(const std::string &key)
{
    HttpCallRequest call{server_, makeHttpRequest(boost::beast::http::verb::get, "/table/" + key)};
    call.timeout = timeout_;
    const HttpResult result = callHttp(std::move(call));
    if (result.status == STATUS_NOT_FOUND) {
        return TableRow();
    }
    if (result.status != STATUS_OK) {
        return absl::UnavailableError(fmt::format("the platform's table does not answer: {}", result.body));
    }
    const json document = json::parse(result.body, nullptr, false);
    if (!document.is_object() || !document.contains("version") || !document["version"].is_number_unsigned() || !document.contains("value")
        || !document["value"].is_string()) {
        return absl::UnavailableError("the platform's table gave an answer that cannot be read");
    }
    return TableRow{document["version"].get<std::uint64_t>(), document["value"].get<std::string>()};
}

absl::Status HttpTableService::commit(const TableTransaction &transaction)
{
    json document = {{"checks", json::array()}, {"writes", json::array()}};
    for (const TableCheck &check : transaction.checks) {
        document["checks"].push_back({{"key", check.key}, {"version", check.version}});
    }
    for (const TableWrite &write : transaction.writes) {
        document["writes"].push_back({{"key", write.key}, {"value", write.value}});
    }
    HttpCallRequest call{server_, makeHttpRequest(boost::beast::http::verb::post, "/table-transactions", document.dump())};
    call.timeout = timeout_;
    const HttpResult result = callHttp(std::move(call));
    if (result.status == STATUS_OK) {
        return absl::OkStatus();
    }
    if (result.status == STATUS_CONFLICT) {
        return absl::AbortedError("another writer was first: read the newest version and try again");
    }
    return absl::UnavailableError(fmt::format("the platform's table does not answer: {}", result.body));
}

}
