/** @file agent_process.h The agent's threads, and the decision thread's loop. */

#pragma once

#include "agent_daemon/endpoint_worker.h"
#include "agent_logic/agent_core.h"
#include "daemon/admin_server.h"
#include "net/link_hub.h"
#include "net/outbox.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace medlarmill
{

/** Settings of an agent process. */
struct AgentProcessSettings
{
    AgentSettings core; ///< Decisions.
    std::vector<std::string> entries; ///< Addresses of entries; more are learned from the roster.
    boost::asio::ip::tcp::endpoint httpListen; ///< For the endpoint's announcements.
    std::string adminListen; ///< For operators.
    Duration drainLimit = Millis(60'000); ///< Longest planned stop.
};

/** Runs an agent. */
class AgentProcess : public AgentOutput
{
public:
    /** @param settings checked settings. */
    explicit AgentProcess(AgentProcessSettings settings);

    /** Runs until a planned stop has finished. @return exit code. */
    int run();

    void sendToEntry(Incarnation entry, wire::Message message) override;
    void resetEntry(Incarnation entry) override;
    void startTask(const TaskKey &key, std::string_view kind, std::string_view payload, Duration timeLeft) override;
    void stopTask(const TaskKey &key) override;
    void rosterChanged(const wire::Roster &roster) override;

private:
    absl::Status start();
    void turn();
    void takeLinkEvents();
    void takeEndpointEvents();
    void onEndpointEvent(EndpointEvent event);
    bool flushCommands();
    std::string metricsText() const;
    std::string statusText() const;
    void publishHello();

    AgentProcessSettings settings_;
    ThreadDoorbell bell_;
    std::mutex helloMutex_; ///< Guards the hello, which the link thread reads.
    wire::Message hello_;
    LinkHub hub_;
    Outbox outbox_;
    EndpointWorker endpoint_;
    AgentCore core_;
    std::mutex statusMutex_; ///< Guards the status text, which the admin thread reads.
    std::string status_;
    std::atomic<bool> drainRequested_{false};
    AdminServer admin_;
    std::deque<std::unique_ptr<EndpointCommand>> commands_;
    Instant now_;
};

}
