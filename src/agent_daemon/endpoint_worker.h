/** @file endpoint_worker.h The agent's thread for the endpoint beside it: announcements in, tasks out, over HTTP. */

#pragma once

#include "agent_logic/agent_type.h"
#include "http/client.h"
#include "http/server.h"
#include "net/doorbell.h"
#include "net/ring.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <string>
#include <thread>

namespace medlarmill
{

/** Command from the decision thread. */
struct EndpointCommand
{
    bool isStop = false; ///< Stop the task instead of starting it.
    TaskKey key; ///< The task.
    std::string kind; ///< Request kind.
    std::string payload; ///< Input.
    Duration timeLeft{0}; ///< Time until the deadline.
};

/** What the endpoint thread has to say. */
enum class EndpointEventKind : std::uint8_t {
    Finished, ///< A task ended.
    Announced, ///< The endpoint announced itself, or vanished.
    Leaving, ///< The endpoint is leaving.
    MetricsWanted, ///< Somebody reads /metrics.
};

/** Event to the decision thread. */
struct EndpointEvent
{
    EndpointEventKind kind = EndpointEventKind::Finished; ///< What happened.
    TaskKey key; ///< For Finished.
    TaskOutcome outcome; ///< For Finished.
    std::uint32_t slots = 0; ///< For Announced; 0 when the endpoint has vanished.
    std::uint64_t reader = 0; ///< For MetricsWanted: handle for the reply.
};

/** Talks HTTP with the endpoint. */
class EndpointWorker : public HttpHandler
{
public:
    /** @param reader doorbell of the decision thread. */
    explicit EndpointWorker(Doorbell &reader);
    ~EndpointWorker() override;

    /** Listens for announcements and starts the thread. @param address where. @return why it failed. */
    absl::Status start(const boost::asio::ip::tcp::endpoint &address);

    /** Stops the thread. */
    void stop();

    /** Queues a command. @param command the command; kept by the caller when the ring is full. @return false when the ring is full. */
    bool command(std::unique_ptr<EndpointCommand> &command)
    {
        return commands_.tryPush(command);
    }

    /** @return the oldest event, or nullptr. */
    std::unique_ptr<EndpointEvent> nextEvent()
    {
        return events_.tryPop();
    }

    /** Answers a reader of /metrics or /readyz. @param reader its handle. @param status HTTP status. @param text the body. */
    void replyText(std::uint64_t reader, unsigned status, std::string text);

    void handle(HttpRequest request, HttpReply reply) override;

private:
    void drainCommands();
    void startTask(EndpointCommand command);
    void onResult(const TaskKey &key, const HttpResult &result);
    void onAnnounce(const std::string &body, const HttpReply &reply);
    void watchAnnouncements();
    void push(EndpointEvent event);
    void retryOverflow();

    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    HttpServer server_;
    boost::asio::steady_timer announceTimer_;
    boost::asio::steady_timer overflowTimer_;
    LoopDoorbell commandBell_;
    BoundedRing<EndpointCommand> commands_;
    BoundedRing<EndpointEvent> events_;
    std::deque<std::unique_ptr<EndpointEvent>> overflow_; ///< Bounded by the running tasks.
    std::optional<boost::asio::ip::tcp::endpoint> endpoint_;
    Instant announcedAt_;
    std::uint32_t slots_ = 0;
    absl::flat_hash_map<TaskKey, std::shared_ptr<HttpCall>> calls_;
    absl::flat_hash_map<TaskKey, bool> stopped_;
    absl::flat_hash_map<std::uint64_t, HttpReply> readers_;
    std::uint64_t nextReader_ = 1;
    std::thread thread_;
};

}
