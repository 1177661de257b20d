/** @file repeatable_job_entry_process.h An entry for repeatable jobs: one loop for links, callers, tables and decisions. */

#pragma once

#include "config/config_exchange.h"
#include "daemon/bounded_log.h"
#include "daemon/metrics.h"
#include "net/message_hub.h"
#include "repeatable/cancellation.h"
#include "repeatable/graceful_shutdown.h"
#include "repeatable/repeatable_job_entry.h"
#include "repeatable/zone_evacuation.h"
#include "table/config_watcher.h"
#include "table/entry_directory.h"

#include <absl/container/btree_set.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace medlarmill
{

/** Settings of a RepeatableJobEntryProcess. */
struct RepeatableJobEntryProcessSettings
{
    RepeatableJobEntrySettings core; ///< Decisions.
    std::string listen; ///< Address for agents and other entries.
    std::vector<std::string> seeds; ///< Addresses of some entries; may be stale.
    ConfigWatcher::Place config; ///< Where the configuration and the rows of evacuated zones lie.
    Duration grace = Millis(6'000); ///< Time from the stop signal to the end.
};

/** What the process needs of the side that speaks with callers. */
class CallerSide : public CallerOutput
{
public:
    /** A document of the configuration was read. @param text the document. @return its version when it is valid and newer than the one in
     * force, which it replaces. */
    virtual std::optional<std::uint64_t> applyConfig(const std::string &text) = 0;

    /** @return version in force; 0 for none. */
    virtual std::uint64_t configVersion() const = 0;

    /** Answers close their connections from now on. */
    virtual void closeAfterAnswers() = 0;

    /** Accepts no further connections. */
    virtual void stopAccepting() = 0;
};

/** Runs an entry. */
class RepeatableJobEntryProcess : public LinkOutput, public MessageHubEvents
{
public:
    /** @param context the loop. @param settings checked settings. @param callers the callers' side. @param table the tables. @param log the
     * log. */
    RepeatableJobEntryProcess(boost::asio::io_context &context, RepeatableJobEntryProcessSettings settings, CallerSide &callers,
                              SharedTable &table, BoundedLog &log);

    /** Begins. @return why it failed. */
    absl::Status start();

    /** @return whether callers' new connections are wanted here. */
    bool isReady() const;

    /** Hands a job in. @param caller the caller. @param job the job. */
    void submit(CallerToken caller, RepeatableJob job);

    /** A caller has gone. @param caller the caller. */
    void callerGone(CallerToken caller);

    /** Cancels a job here and at all other entries. @param id the job. @param done gets the answer, at once or within a second. */
    void cancel(const SubmissionId &id, Cancellation::Done done);

    /** @return the decisions, for reading. */
    const RepeatableJobEntry &core() const
    {
        return core_;
    }

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
    void onDocument(const std::string &text, std::string_view source);
    void countDocument(std::string_view source, std::string_view result);
    void onPeerDocument(const repeat::ConfigDocument &document);
    repeat::Message makeHello() const;
    void sendConfig(Incarnation peer);
    void announceTo(Incarnation peer);
    void askForConfig(Instant now);
    void onCrashNotice(const repeat::CrashNotice &notice);
    void onZonesChanged();
    void learnAddresses(const std::vector<std::string> &addresses);
    void dialEntries();
    void pingPeers(Instant now);
    void forgetEntries(Instant now);
    void sendEntryList(Incarnation peer);
    void tellAgentsOfEntries(Instant now);
    std::size_t unlinkedEntries() const;
    void pumpSoon();
    void stop();
    void tick();
    void tickStop(Instant now);

    boost::asio::io_context &context_;
    RepeatableJobEntryProcessSettings settings_;
    CallerSide &callers_;
    BoundedLog &log_;
    MessageHub hub_;
    RepeatableJobEntry core_;
    Cancellation cancellation_;
    GracefulShutdown stop_;
    ZoneExchange zoneExchange_;
    ConfigWatcher configWatcher_;
    EntryDirectory directory_;
    boost::asio::steady_timer timer_;
    absl::btree_map<Incarnation, std::string> entryPeers_; ///< Other entries with a link, and their addresses.
    absl::btree_set<Incarnation> agentPeers_; ///< Agents with a link.
    absl::btree_map<std::string, Instant> knownEntries_; ///< Addresses, and when each was confirmed last.
    std::string document_; ///< Configuration in force.
    ConfigExchange configExchange_;
    absl::btree_set<Incarnation> configReceivers_; ///< Peers of an earlier release, which do not ask for documents.
    Counters counters_;
    Instant nextPeerPing_;
    bool entryListChanged_ = false; ///< Agents have not been told of the newest entries.
    Instant nextEntryList_;
    bool pumpScheduled_ = false;
};

}
