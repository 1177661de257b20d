/** @file address.cpp Network addresses by IP number. */

#include "net/address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <fmt/format.h>

namespace medlarmill
{

absl::StatusOr<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return absl::InvalidArgumentError(fmt::format("\"{}\" has no port: write an IP number, a colon and a port", text));
    }
    std::uint16_t port = 0;
    const std::string_view digits = text.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) {
        return absl::InvalidArgumentError(fmt::format("\"{}\" has no valid port: use 1 to 65535", text));
    }
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
    if (error) {
        return absl::InvalidArgumentError(fmt::format("\"{}\" has no IP number: names are not looked up", text));
    }
    return boost::asio::ip::tcp::endpoint(address, port);
}

absl::StatusOr<std::vector<boost::asio::ip::tcp::endpoint>> parseAddresses(std::string_view text)
{
    std::vector<boost::asio::ip::tcp::endpoint> endpoints;
    while (!text.empty()) {
        const std::size_t comma = text.find(',');
        const auto endpoint = parseAddress(text.substr(0, comma));
        if (!endpoint.ok()) {
            return endpoint.status();
        }
        endpoints.push_back(*endpoint);
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return endpoints;
}

std::string formatAddress(const boost::asio::ip::tcp::endpoint &endpoint)
{
    return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

}
