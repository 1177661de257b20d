/** @file admin_server.h Operators' commands to a process: nng request and reply. */

#pragma once

#include <absl/status/status.h>
#include <atomic>
#include <functional>
#include <nng/nng.h>
#include <string>
#include <thread>

namespace medlarmill
{

/** Answers one command at a time on a thread of its own. */
class AdminServer
{
public:
    using Handler = std::function<std::string(const std::string &)>; ///< Gets a command, returns a JSON document; runs on the admin thread.

    /** @param handler handles commands. */
    explicit AdminServer(Handler handler);
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /** Listens and starts the thread. @param address `number:port`. @return why it failed. */
    absl::Status start(const std::string &address);

private:
    void run();

    Handler handler_;
    nng_socket socket_ = NNG_SOCKET_INITIALIZER;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

/** Sends a command to a process. @param address `number:port`. @param command the command. @param reply receives the document. @return why
 * it failed. */
absl::Status callAdmin(const std::string &address, const std::string &command, std::string *reply);

}
