/** @file admin_server.cpp Operators' commands over nng. */

#include "daemon/admin_server.h"

#include <fmt/format.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>

namespace medlarmill
{

namespace
{

constexpr nng_duration POLL_MS = 200; ///< How often the thread looks whether it shall stop.
constexpr nng_duration CALL_TIMEOUT_MS = 5'000; ///< Time for a reply to a command.
constexpr std::size_t MAX_COMMAND_BYTES = 64U << 10U; ///< Largest command.

std::string urlOf(const std::string &address)
{
    return "tcp://" + address;
}

}

AdminServer::AdminServer(Handler handler)
    : handler_(std::move(handler))
{ }

AdminServer::~AdminServer()
{
    stopping_ = true;
    if (thread_.joinable()) {
        thread_.join();
        nng_close(socket_);
    }
}

absl::Status AdminServer::start(const std::string &address)
{
    int error = nng_rep0_open(&socket_);
    if (error == 0) {
        nng_socket_set_size(socket_, NNG_OPT_RECVMAXSZ, MAX_COMMAND_BYTES);
        nng_socket_set_ms(socket_, NNG_OPT_RECVTIMEO, POLL_MS);
        error = nng_listen(socket_, urlOf(address).c_str(), nullptr, 0);
    }
    if (error != 0) {
        return absl::UnavailableError(
            fmt::format("cannot listen for operators on {}: {}; choose a free address", address, nng_strerror(error)));
    }
    thread_ = std::thread([this] {
        run();
    });
    return absl::OkStatus();
}

void AdminServer::run()
{
    while (!stopping_) {
        char *data = nullptr;
        std::size_t size = 0;
        if (nng_recv(socket_, static_cast<void *>(&data), &size, NNG_FLAG_ALLOC) != 0) {
            continue;
        }
        const std::string command(data, size);
        nng_free(data, size);
        std::string reply = handler_(command);
        nng_send(socket_, reply.data(), reply.size(), 0);
    }
}

absl::Status callAdmin(const std::string &address, const std::string &command, std::string *reply)
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    int error = nng_req0_open(&socket);
    if (error != 0) {
        return absl::InternalError(nng_strerror(error));
    }
    nng_socket_set_ms(socket, NNG_OPT_RECVTIMEO, CALL_TIMEOUT_MS);
    error = nng_dial(socket, urlOf(address).c_str(), nullptr, 0);
    if (error == 0) {
        std::string copy = command;
        error = nng_send(socket, copy.data(), copy.size(), 0);
    }
    char *data = nullptr;
    std::size_t size = 0;
    if (error == 0) {
        error = nng_recv(socket, static_cast<void *>(&data), &size, NNG_FLAG_ALLOC);
    }
    if (error == 0) {
        reply->assign(data, size);
        nng_free(data, size);
    }
    nng_close(socket);
    if (error != 0) {
        return absl::UnavailableError(
            fmt::format("{} does not answer: {}; check the address and that the process runs", address, nng_strerror(error)));
    }
    return absl::OkStatus();
}

}
