/** @file repeatable_job_agent_process.h An agent for repeatable jobs: one loop for links, the endpoint and decisions. */

#pragma once

#include "daemon/bounded_log.h"
#include "net/message_hub.h"
#include "repeatable/entry_selection.h"
#include "repeatable/repeatable_job_agent.h"
#include "table/entry_directory.h"

#include <absl/container/btree_map.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <vector>

namespace medlarmill
{

/** Settings of a RepeatableJobAgentProcess. */
struct RepeatableJobAgentProcessSettings
{
    RepeatableJobAgentSettings core; ///< Decisions.
    std::vector<std::string> seeds; ///< Addresses of some entries; may be stale.
    std::size_t entryLinks = 8; ///< Number of entries to link to, when there are as many.
    Duration grace = Millis(6'000); ///< Time from the stop signal to the end.
};

/** Runs an agent. */
class RepeatableJobAgentProcess : public LinkOutput, public MessageHubEvents
{
public:
    /** @param context the loop. @param settings checked settings. @param endpoint calls the endpoint. @param table the tables. @param log
     * the log. */
    RepeatableJobAgentProcess(boost::asio::io_context &context, RepeatableJobAgentProcessSettings settings, EndpointApi &endpoint,
                              SharedTable &table, BoundedLog &log);

    /** Begins. */
    void start();

    /** The endpoint said something of itself. @param notice what. */
    void onNotice(const EndpointNotice &notice);

    /** @return the metrics page. */
    std::string metricsText() const;

    void sendTo(Incarnation peer, repeat::Message message) override;
    void resetLink(Incarnation peer) override;
    void onLinkUp(Incarnation peer, const repeat::Message &hello, bool dialed) override;
    void onLinkDown(Incarnation peer, bool processGone) override;
    void onMessage(Incarnation peer, const repeat::Message &message) override;
    void onTargetForgotten(const std::string &address) override;
    void onFrameEnd() override;

private:
    void learnAddresses(const std::vector<std::string> &addresses);
    void updateLinks(Instant now);
    void stop();
    void tick();

    boost::asio::io_context &context_;
    RepeatableJobAgentProcessSettings settings_;
    BoundedLog &log_;
    MessageHub hub_;
    RepeatableJobAgent core_;
    EntryDirectory directory_;
    boost::asio::steady_timer timer_;
    EntrySelection selection_;
    absl::btree_map<Incarnation, std::string> entryAddresses_; ///< Addresses of the entries with a link.
    Instant nextLinkUpdate_;
    Instant stopAt_ = NEVER;
};

}
