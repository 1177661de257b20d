/** @file listen_func.cpp Opens a listening socket. */

#include "net/listen_func.h"

#include "net/address.h"

#include <fmt/format.h>

namespace medlarmill
{

absl::Status listenOn(boost::asio::ip::tcp::acceptor &acceptor, const boost::asio::ip::tcp::endpoint &address)
{
    boost::system::error_code error;
    acceptor.open(address.protocol(), error);
    if (!error) {
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(address, error);
    }
    if (!error) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return absl::UnavailableError(
            fmt::format("cannot listen on {}: {}; choose a free address", formatAddress(address), error.message()));
    }
    return absl::OkStatus();
}

}
