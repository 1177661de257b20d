/** @file address.h Network addresses by IP number. */

#pragma once

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace medlarmill
{

/** Reads `number:port`. @param text the address. @return the endpoint, or why it is wrong. */
absl::StatusOr<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view text);

/** Reads addresses separated by commas. @param text the list; may be empty. @return the endpoints, or why one is wrong. */
absl::StatusOr<std::vector<boost::asio::ip::tcp::endpoint>> parseAddresses(std::string_view text);

/** @param endpoint an endpoint. @return it as `number:port`. */
std::string formatAddress(const boost::asio::ip::tcp::endpoint &endpoint);

}
