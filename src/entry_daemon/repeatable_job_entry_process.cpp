/** @file repeatable_job_entry_process.cpp An entry for repeatable jobs. */

#include "entry_daemon/repeatable_job_entry_process.h"

#include "daemon/stop_signal.h"
#include "entry_daemon/zone_metrics.h"
#include "net/address.h"

#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace medlarmill
{

namespace
{

constexpr Duration TICK = Millis(10); ///< Time between ticks of the decisions.
constexpr Duration PEER_PING = Millis(500); ///< Time between proofs of life to other entries.
constexpr Duration ENTRY_LIST_INTERVAL = Millis(250); ///< Least time between two lists of entries sent to all agents.
constexpr Duration ENTRY_KEPT = Millis(60'000); ///< An entry that neither a link nor the table confirms for so long is forgotten.

}

RepeatableJobEntryProcess::RepeatableJobEntryProcess(boost::asio::io_context &context, RepeatableJobEntryProcessSettings settings,
                                                     CallerSide &callers, SharedTable &table, BoundedLog &log)
    : context_(context)
    , settings_(std::move(settings))
    , callers_(callers)
    , log_(log)
    , hub_(context,
           {[this] {
                return makeHello();
            },
            settings_.listen},
           *this)
    , core_(settings_.core, *this, callers, log)
    , cancellation_(core_, *this, log)
    , stop_(settings_.grace)
    , zoneExchange_(*this, log,
                    [this] {
                        onZonesChanged();
                    })
    , configWatcher_(
          context, table, settings_.config, log,
          [this](const std::string &text) {
              onDocument(text, "table");
          },
          [this](const SwitchRows &rows) {
              zoneExchange_.onRead({rows.version, rows.isWhole, rows.present, rows.removed}, ProcessClock::now());
          })
    , directory_(context, table, settings_.listen, log)
    , timer_(context)
{ }

absl::Status RepeatableJobEntryProcess::start()
{
    const auto address = parseAddress(settings_.listen);
    if (!address.ok()) {
        return address.status();
    }
    absl::Status status = hub_.listen(*address);
    if (!status.ok()) {
        return status;
    }
    configWatcher_.start();
    learnAddresses(settings_.seeds);
    directory_.start(
        [this] {
            return !agentPeers_.empty();
        },
        [this](const std::vector<std::string> &addresses) {
            learnAddresses(addresses);
        });
    log_.warn(fmt::format("event=started role=entry incarnation={:016x} zone={} listen={}", toWire(settings_.core.incarnation),
                          settings_.core.zone, settings_.listen));
    tick();
    return absl::OkStatus();
}

bool RepeatableJobEntryProcess::isReady() const
{
    return !stop_.hasBegun() && callers_.configVersion() != 0 && core_.hasConnectedAgent();
}

void RepeatableJobEntryProcess::submit(CallerToken caller, RepeatableJob job)
{
    core_.submit(caller, std::move(job), ProcessClock::now());
    pumpSoon();
}

void RepeatableJobEntryProcess::callerGone(CallerToken caller)
{
    core_.onCallerDisconnected(caller, ProcessClock::now());
}

void RepeatableJobEntryProcess::cancel(const SubmissionId &id, Cancellation::Done done)
{
    cancellation_.cancel(id, unlinkedEntries(), std::move(done), ProcessClock::now());
}

std::size_t RepeatableJobEntryProcess::unlinkedEntries() const
{
    absl::btree_set<std::string> unlinked;
    for (const auto &[address, confirmedAt] : knownEntries_) {
        unlinked.insert(address);
    }
    unlinked.erase(settings_.listen);
    for (const auto &[peer, address] : entryPeers_) {
        unlinked.erase(address);
    }
    return unlinked.size();
}

void RepeatableJobEntryProcess::pumpSoon()
{
    if (pumpScheduled_) {
        return;
    }
    pumpScheduled_ = true;
    boost::asio::post(context_, [this] {
        pumpScheduled_ = false;
        core_.dispatchTasks(ProcessClock::now());
    });
}

void RepeatableJobEntryProcess::sendTo(Incarnation peer, repeat::Message message)
{
    hub_.sendTo(peer, std::move(message));
}

void RepeatableJobEntryProcess::resetLink(Incarnation peer)
{
    agentPeers_.erase(peer);
    zoneExchange_.onLinkDown(peer);
    cancellation_.onLinkDown(peer, ProcessClock::now());
    hub_.resetLink(peer);
}

repeat::Message RepeatableJobEntryProcess::makeHello() const
{
    repeat::Message message;
    repeat::EntryHello *hello = message.mutable_entry_hello();
    hello->set_incarnation(toWire(settings_.core.incarnation));
    hello->set_name(settings_.core.name);
    hello->set_address(settings_.listen);
    hello->set_config_version(callers_.configVersion());
    hello->set_asks_for_config(true);
    return message;
}

void RepeatableJobEntryProcess::onLinkUp(Incarnation peer, const repeat::Message &hello, bool dialed)
{
    if (hello.has_agent_hello()) {
        agentPeers_.insert(peer);
        zoneExchange_.onLinkUp(peer);
        core_.onAgentUp(hello.agent_hello(), ProcessClock::now());
        cancellation_.onLinkUp(peer, false, ProcessClock::now());
        sendEntryList(peer);
        pumpSoon();
        return;
    }
    entryPeers_[peer] = hello.entry_hello().address();
    log_.info(fmt::format("event=entry_up entry={} incarnation={:016x} config_version={}", hello.entry_hello().name(), toWire(peer),
                          hello.entry_hello().config_version()));
    if (dialed) {
        hub_.sendTo(peer, makeHello());
    }
    zoneExchange_.onLinkUp(peer);
    learnAddresses({hello.entry_hello().address()});
    cancellation_.onLinkUp(peer, true, ProcessClock::now());
    repeat::Message crashes;
    *crashes.mutable_crash_notice() = core_.crashNotice();
    if (!crashes.crash_notice().crashes().empty()) {
        hub_.sendTo(peer, std::move(crashes));
    }
    if (!hello.entry_hello().asks_for_config()) {
        configReceivers_.insert(peer);
        sendConfig(peer);
    }
    configExchange_.onPeerVersion(peer, hello.entry_hello().config_version(), ProcessClock::now());
    askForConfig(ProcessClock::now());
}

void RepeatableJobEntryProcess::onLinkDown(Incarnation peer, bool /*processGone*/)
{
    zoneExchange_.onLinkDown(peer);
    cancellation_.onLinkDown(peer, ProcessClock::now());
    if (agentPeers_.erase(peer) > 0) {
        core_.onAgentDown(peer, ProcessClock::now());
    } else if (entryPeers_.erase(peer) > 0) {
        configReceivers_.erase(peer);
        configExchange_.onPeerDown(peer);
        log_.warn(fmt::format("event=entry_down incarnation={:016x}", toWire(peer)));
    }
}

void RepeatableJobEntryProcess::onMessage(Incarnation peer, const repeat::Message &message)
{
    if (message.has_config_document()) {
        onPeerDocument(message.config_document());
    } else if (message.has_config_request()) {
        sendConfig(peer);
    } else if (message.has_entry_ping() && entryPeers_.contains(peer)) {
        configExchange_.onPeerVersion(peer, message.entry_ping().config_version(), ProcessClock::now());
    } else if (message.has_entry_list()) {
        learnAddresses({message.entry_list().addresses().begin(), message.entry_list().addresses().end()});
    } else if (message.has_crash_notice()) {
        onCrashNotice(message.crash_notice());
    } else if (message.has_zone_state()) {
        zoneExchange_.onPeerState(message.zone_state(), ProcessClock::now());
    } else if (message.has_job_cancel()) {
        cancellation_.onJobCancel(peer, message.job_cancel(), ProcessClock::now());
    } else if (message.has_job_cancel_reply()) {
        cancellation_.onReply(peer, message.job_cancel_reply(), ProcessClock::now());
    } else if (agentPeers_.contains(peer)) {
        core_.onAgentMessage(peer, message, ProcessClock::now());
    }
}

void RepeatableJobEntryProcess::onCrashNotice(const repeat::CrashNotice &notice)
{
    core_.onCrashNotice(notice, ProcessClock::now());
    if (!notice.forward()) {
        return;
    }
    repeat::Message message;
    *message.mutable_crash_notice() = notice;
    message.mutable_crash_notice()->set_forward(false);
    for (const auto &[peer, address] : entryPeers_) {
        hub_.sendTo(peer, message);
    }
}

void RepeatableJobEntryProcess::onZonesChanged()
{
    absl::btree_set<std::string> zones;
    for (const auto &[zone, since] : zoneExchange_.zones().evacuatedSince()) {
        zones.insert(zone);
        log_.state(fmt::format("event=zone_runs_left zone={} orders={}", printableZone(zone), core_.placement().outstandingOrders(zone)));
    }
    core_.setEvacuatedZones(std::move(zones));
    pumpSoon();
}

void RepeatableJobEntryProcess::onFrameEnd()
{
    pumpSoon();
}

void RepeatableJobEntryProcess::onDocument(const std::string &text, std::string_view source)
{
    const std::optional<std::uint64_t> version = callers_.applyConfig(text);
    countDocument(source, version.has_value() ? "newer" : "known");
    if (!version.has_value()) {
        return;
    }
    document_ = text;
    configExchange_.onOwnVersion(*version);
    log_.state(fmt::format("event=config_in_force version={} source={} bytes={}", *version, source, text.size()));
    for (const auto &[peer, address] : entryPeers_) {
        if (configReceivers_.contains(peer)) {
            sendConfig(peer);
            continue;
        }
        announceTo(peer);
    }
}

void RepeatableJobEntryProcess::countDocument(std::string_view source, std::string_view result)
{
    counters_.add(fmt::format("entry_config_documents{{source=\"{}\",result=\"{}\"}}", source, result));
}

void RepeatableJobEntryProcess::onPeerDocument(const repeat::ConfigDocument &document)
{
    if (document.version() <= callers_.configVersion()) {
        countDocument("peer", "known");
        return;
    }
    onDocument(document.text(), "peer");
}

void RepeatableJobEntryProcess::announceTo(Incarnation peer)
{
    repeat::Message message;
    message.mutable_entry_ping()->set_config_version(callers_.configVersion());
    hub_.sendTo(peer, std::move(message));
}

void RepeatableJobEntryProcess::askForConfig(Instant now)
{
    const Duration behindFor = configExchange_.behindFor(now);
    const std::optional<Incarnation> peer = configExchange_.takePeerToAsk(now);
    if (!peer.has_value()) {
        return;
    }
    counters_.add("entry_config_requests");
    log_.state(fmt::format("event=config_behind version={} newest_known={} behind_ms={} asked={:016x}", callers_.configVersion(),
                           configExchange_.newestKnown(), toMillis(behindFor), toWire(*peer)));
    repeat::Message message;
    message.mutable_config_request();
    hub_.sendTo(*peer, std::move(message));
}

void RepeatableJobEntryProcess::sendConfig(Incarnation peer)
{
    repeat::Message message;
    message.mutable_config_document()->set_version(callers_.configVersion());
    message.mutable_config_document()->set_text(document_);
    hub_.sendTo(peer, std::move(message));
}

void RepeatableJobEntryProcess::sendEntryList(Incarnation peer)
{
    repeat::Message message;
    for (const auto &[address, confirmedAt] : knownEntries_) {
        message.mutable_entry_list()->add_addresses(address);
    }
    hub_.sendTo(peer, std::move(message));
}

void RepeatableJobEntryProcess::learnAddresses(const std::vector<std::string> &addresses)
{
    const std::size_t before = knownEntries_.size();
    for (const std::string &address : addresses) {
        knownEntries_[address] = ProcessClock::now();
    }
    if (knownEntries_.size() == before) {
        return;
    }
    dialEntries();
    entryListChanged_ = true;
}

void RepeatableJobEntryProcess::tellAgentsOfEntries(Instant now)
{
    if (!entryListChanged_ || now < nextEntryList_) {
        return;
    }
    entryListChanged_ = false;
    nextEntryList_ = now + ENTRY_LIST_INTERVAL;
    for (const Incarnation agent : agentPeers_) {
        sendEntryList(agent);
    }
}

void RepeatableJobEntryProcess::dialEntries()
{
    // Of two entries, the one with the smaller address dials.
    std::vector<std::string> targets;
    for (const auto &[address, confirmedAt] : knownEntries_) {
        if (address > settings_.listen) {
            targets.push_back(address);
        }
    }
    hub_.setTargets(targets);
}

void RepeatableJobEntryProcess::onTargetForgotten(const std::string &address)
{
    log_.info(fmt::format("event=entry_forgotten address={}", address));
    knownEntries_.erase(address);
}

void RepeatableJobEntryProcess::pingPeers(Instant now)
{
    for (const auto &[peer, address] : entryPeers_) {
        knownEntries_[address] = now;
        announceTo(peer);
    }
}

void RepeatableJobEntryProcess::forgetEntries(Instant now)
{
    knownEntries_[settings_.listen] = now;
    std::vector<std::string> old;
    for (const auto &[address, confirmedAt] : knownEntries_) {
        if (confirmedAt + ENTRY_KEPT < now) {
            old.push_back(address);
        }
    }
    for (const std::string &address : old) {
        onTargetForgotten(address);
    }
    if (!old.empty()) {
        dialEntries();
    }
}

void RepeatableJobEntryProcess::tick()
{
    const Instant now = ProcessClock::now();
    if (isStopRequested()) {
        stop();
    }
    if (takeReloadRequest()) {
        log_.info("event=reload_asked result=nothing_to_change");
    }
    core_.tick(now);
    cancellation_.tick(now);
    if (now >= nextPeerPing_) {
        nextPeerPing_ = now + PEER_PING;
        pingPeers(now);
        forgetEntries(now);
    }
    askForConfig(now);
    tellAgentsOfEntries(now);
    log_.flush();
    tickStop(now);
    timer_.expires_after(TICK);
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            tick();
        }
    });
}

void RepeatableJobEntryProcess::stop()
{
    if (stop_.hasBegun()) {
        return;
    }
    stop_.begin(ProcessClock::now());
    log_.warn(fmt::format("event=stop_began open_jobs={}", core_.openJobCount()));
    directory_.retire();
}

void RepeatableJobEntryProcess::tickStop(Instant now)
{
    switch (stop_.advance(now, core_.openJobCount())) {
    case ShutdownPhase::Running:
    case ShutdownPhase::Unready:
        return;
    case ShutdownPhase::ClosingConnections:
        callers_.closeAfterAnswers();
        return;
    case ShutdownPhase::Flushing:
        callers_.closeAfterAnswers();
        callers_.stopAccepting();
        core_.startDraining();
        core_.abandonAllJobs(now);
        return;
    case ShutdownPhase::Done:
        log_.warn("event=stopped");
        log_.flush();
        context_.stop();
        return;
    }
}

std::string RepeatableJobEntryProcess::metricsText() const
{
    std::string text;
    writeCounters(core_.counters(), text);
    writeCounters(counters_, text);
    writeCounters(cancellation_.counters(), text);
    writeGauge("entry_cancelled_jobs", static_cast<double>(core_.cancelledJobs().size()), text);
    writeGauge("entry_cancelled_jobs_dropped", static_cast<double>(core_.cancelledJobs().dropped()), text);
    writeHistograms("entry_stage", core_.histograms(), text);
    writeGauge("entry_open_jobs", static_cast<double>(core_.openJobCount()), text);
    writeGauge("entry_config_version", static_cast<double>(callers_.configVersion()), text);
    writeGauge("entry_config_newest_known", static_cast<double>(configExchange_.newestKnown()), text);
    writeGauge("entry_config_behind_ms", static_cast<double>(toMillis(configExchange_.behindFor(ProcessClock::now()))), text);
    writeZoneGauges(
        "entry", zoneExchange_.zones(),
        [this](const std::string &zone) {
            return core_.placement().outstandingOrders(zone);
        },
        ProcessClock::now(), text);
    writeGauge("entry_agent_links", static_cast<double>(agentPeers_.size()), text);
    writeGauge("entry_peer_links", static_cast<double>(entryPeers_.size()), text);
    writeGauge("log_lines_dropped", static_cast<double>(log_.dropped()), text);
    return text;
}

}
