/** @file listen_func.h Opens a listening socket. */

#pragma once

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>

namespace medlarmill
{

/** Opens an acceptor and listens. @param acceptor a closed acceptor. @param address where. @return why it failed, with the remedy. */
absl::Status listenOn(boost::asio::ip::tcp::acceptor &acceptor, const boost::asio::ip::tcp::endpoint &address);

}
