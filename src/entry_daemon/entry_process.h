/** @file entry_process.h One life of an entry: its threads, and the decision thread's loop. */

#pragma once

#include "daemon/admin_server.h"
#include "daemon/metrics.h"
#include "entry_daemon/caller_gateway.h"
#include "entry_daemon/store_worker.h"
#include "entry_logic/entry_core.h"
#include "net/link_hub.h"
#include "net/outbox.h"

#include <absl/container/flat_hash_map.h>
#include <future>
#include <memory>
#include <string>
#include <vector>

namespace medlarmill
{

/** Settings of an entry process. */
struct EntryProcessSettings
{
    EntrySettings core; ///< Decisions.
    boost::asio::ip::tcp::endpoint listen; ///< For agents and other entries.
    boost::asio::ip::tcp::endpoint httpListen; ///< For callers.
    std::string adminListen; ///< For operators.
    std::vector<std::string> peers; ///< Addresses of other entries.
    boost::asio::ip::tcp::endpoint platform; ///< The platform's table.
    std::string cell; ///< Group of entries that share a roster.
    Duration storeInterval = Millis(1'000); ///< Time between reads of the table.
    Duration storeTimeout = Millis(15'000); ///< Time for an answer of the table.
    Duration drainLimit = Millis(60'000); ///< Longest planned stop.
    HttpLimits http; ///< Limits for callers.
    std::size_t maxCallers = 20'000; ///< Callers that may wait.
};

/** How a life of an entry ended. */
enum class EntryExit : std::uint8_t {
    Stopped, ///< Planned stop; everything was answered.
    DrainLimit, ///< Planned stop; the limit passed with work left.
    Restart, ///< Removed from the roster: begin again under a new incarnation.
    Failed, ///< It could not start.
};

/** Runs an entry from its start to its end. */
class EntryProcess : public EntryOutput
{
public:
    /** @param settings checked settings, with a new incarnation. */
    explicit EntryProcess(EntryProcessSettings settings);

    /** Runs until the end. @return how it ended. */
    EntryExit run();

    void sendToAgent(Incarnation agent, wire::Message message) override;
    void sendToPeer(Incarnation peer, wire::Message message) override;
    void resetPeer(Incarnation peer) override;
    void answerCaller(CallerToken caller, const wire::Answer &answer) override;
    void proposeRoster(const wire::Roster &roster) override;
    void rosterChanged(const wire::Roster &roster) override;
    std::uint64_t random() override;
    std::uint64_t unixMs() override;

private:
    struct AdminCommand
    {
        std::string command; ///< The command.
        std::promise<std::string> reply; ///< Its reply.
    };

    absl::Status start();
    wire::Message hello() const;
    void turn();
    bool takeLinkEvents();
    void onLinkEvent(const LinkEvent &event);
    void takeStoreEvents();
    void takeCallerRequests();
    void onCallerRequest(CallerRequest request);
    void takeAdminCommands();
    std::string onAdmin(const std::string &command);
    std::string metricsText() const;
    std::string statusText() const;
    void replyText(CallerToken caller, unsigned status, std::string text, bool isJson);

    EntryProcessSettings settings_;
    ThreadDoorbell bell_;
    LinkHub hub_;
    Outbox outbox_;
    CallerGateway gateway_;
    StoreWorker store_;
    BoundedRing<AdminCommand> adminCommands_;
    EntryCore core_;
    AdminServer admin_;
    absl::flat_hash_map<CallerToken, Instant> submittedAt_;
    Summary answerMs_;
    Instant now_;
    std::string storeError_;
};

}
