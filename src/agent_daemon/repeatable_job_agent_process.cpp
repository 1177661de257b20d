/** @file repeatable_job_agent_process.cpp An agent for repeatable jobs. */

#include "agent_daemon/repeatable_job_agent_process.h"

#include "daemon/metrics.h"
#include "daemon/stop_signal.h"
#include "entry_daemon/zone_metrics.h"

#include <algorithm>
#include <fmt/format.h>

namespace medlarmill
{

namespace
{

constexpr Duration TICK = Millis(15); ///< Time between ticks of the decisions.
constexpr Duration LINK_UPDATE_INTERVAL = Millis(100); ///< Time between updates of the links.
constexpr Duration STOP_MARGIN = Millis(500); ///< Time left at the end of the grace period.
constexpr Duration LEAST_STOP = Millis(400); ///< Time for entries to learn that no further work is taken.

}

RepeatableJobAgentProcess::RepeatableJobAgentProcess(boost::asio::io_context &context, RepeatableJobAgentProcessSettings settings,
                                                     EndpointApi &endpoint, SharedTable &table, BoundedLog &log)
    : context_(context)
    , settings_(std::move(settings))
    , log_(log)
    , hub_(context, {}, *this)
    , core_(settings_.core, *this, endpoint, log)
    , directory_(context, table, "", log)
    , timer_(context)
    , selection_(settings_.core.name, settings_.entryLinks)
{ }

void RepeatableJobAgentProcess::start()
{
    log_.warn(fmt::format("event=started role=agent incarnation={:016x} zone={}", toWire(settings_.core.incarnation), settings_.core.zone));
    learnAddresses(settings_.seeds);
    directory_.start(
        [this] {
            return hub_.linkCount() > 0;
        },
        [this](const std::vector<std::string> &addresses) {
            learnAddresses(addresses);
        });
    tick();
}

void RepeatableJobAgentProcess::stop()
{
    if (stopAt_ != NEVER) {
        return;
    }
    stopAt_ = ProcessClock::now();
    log_.warn(fmt::format("event=stop_began held={}", core_.unfinishedRuns()));
    core_.startDraining(stopAt_);
}

void RepeatableJobAgentProcess::tick()
{
    const Instant now = ProcessClock::now();
    if (isStopRequested()) {
        stop();
    }
    if (takeReloadRequest()) {
        log_.info("event=reload_asked result=nothing_to_change");
    }
    core_.tick(now);
    if (now >= nextLinkUpdate_) {
        nextLinkUpdate_ = now + LINK_UPDATE_INTERVAL;
        updateLinks(now);
    }
    log_.flush();
    const bool stopping = stopAt_ != NEVER;
    const bool done = stopping && core_.unfinishedRuns() == 0 && now >= stopAt_ + LEAST_STOP;
    if (done || (stopping && now >= stopAt_ + settings_.grace - STOP_MARGIN)) {
        log_.warn(fmt::format("event=stopped held={}", core_.unfinishedRuns()));
        log_.flush();
        context_.stop();
        return;
    }
    timer_.expires_after(TICK);
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            tick();
        }
    });
}

void RepeatableJobAgentProcess::onNotice(const EndpointNotice &notice)
{
    core_.onNotice(notice, ProcessClock::now());
}

void RepeatableJobAgentProcess::learnAddresses(const std::vector<std::string> &addresses)
{
    const Instant now = ProcessClock::now();
    const std::size_t before = selection_.knownCount();
    selection_.add(addresses, now);
    if (selection_.knownCount() != before) {
        updateLinks(now);
    }
}

void RepeatableJobAgentProcess::updateLinks(Instant now)
{
    const EntryChoice choice = selection_.choose(now);
    hub_.setTargets(choice.dialed);
    std::vector<Incarnation> idle;
    for (const auto &[entry, address] : entryAddresses_) {
        core_.setEntryReleased(entry, std::ranges::find(choice.released, address) != choice.released.end(), now);
        if (core_.isEntryIdle(entry, now)) {
            idle.push_back(entry);
        }
    }
    for (const Incarnation entry : idle) {
        const std::string address = entryAddresses_.extract(entry).mapped();
        log_.info(fmt::format("event=entry_released address={} incarnation={:016x}", address, toWire(entry)));
        hub_.dropTarget(address);
        selection_.setLinked(address, false, now);
        core_.onEntryDown(entry, false, now);
    }
}

void RepeatableJobAgentProcess::sendTo(Incarnation peer, repeat::Message message)
{
    hub_.sendTo(peer, std::move(message));
}

void RepeatableJobAgentProcess::resetLink(Incarnation peer)
{
    hub_.resetLink(peer);
}

void RepeatableJobAgentProcess::onLinkUp(Incarnation peer, const repeat::Message &hello, bool /*dialed*/)
{
    log_.info(fmt::format("event=entry_up entry={} incarnation={:016x}", hello.entry_hello().name(), toWire(peer)));
    const Instant now = ProcessClock::now();
    entryAddresses_[peer] = hello.entry_hello().address();
    selection_.setLinked(hello.entry_hello().address(), true, now);
    core_.onEntryUp(peer, now);
}

void RepeatableJobAgentProcess::onLinkDown(Incarnation peer, bool processGone)
{
    log_.warn(fmt::format("event=entry_down incarnation={:016x} process_gone={}", toWire(peer), processGone));
    const Instant now = ProcessClock::now();
    const auto address = entryAddresses_.find(peer);
    if (address != entryAddresses_.end()) {
        selection_.setLinked(address->second, false, now);
        entryAddresses_.erase(address);
    }
    core_.onEntryDown(peer, processGone, now);
}

void RepeatableJobAgentProcess::onMessage(Incarnation peer, const repeat::Message &message)
{
    if (message.has_entry_list()) {
        learnAddresses({message.entry_list().addresses().begin(), message.entry_list().addresses().end()});
        return;
    }
    core_.onEntryMessage(peer, message, ProcessClock::now());
}

void RepeatableJobAgentProcess::onTargetForgotten(const std::string &address)
{
    log_.info(fmt::format("event=entry_forgotten address={}", address));
    selection_.remove(address);
}

void RepeatableJobAgentProcess::onFrameEnd()
{ }

std::string RepeatableJobAgentProcess::metricsText() const
{
    std::string text;
    writeCounters(core_.counters(), text);
    writeHistograms("agent_stage", core_.histograms(), text);
    writeGauge("agent_held_runs", static_cast<double>(core_.unfinishedRuns()), text);
    writeZoneGauges(
        "agent", core_.zones(),
        [this](const std::string &zone) {
            return zone == settings_.core.zone ? core_.unfinishedRuns() : 0;
        },
        ProcessClock::now(), text);
    writeGauge("agent_free_cpu", core_.freeResources().cpu, text);
    writeGauge("agent_entry_links", static_cast<double>(hub_.linkCount()), text);
    writeGauge("log_lines_dropped", static_cast<double>(log_.dropped()), text);
    return text;
}

}
