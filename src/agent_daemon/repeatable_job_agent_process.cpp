/** @file repeatable_job_agent_process.cpp An agent for repeatable jobs. */

#include "agent_daemon/repeatable_job_agent_process.h"

#include "daemon/metrics.h"
#include "daemon/stop_signal.h"

#include <fmt/format.h>

namespace medlarmill
{

namespace
{

constexpr Duration TICK = Millis(15); ///< Time between ticks of the decisions.
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
    bool changed = false;
    for (const std::string &address : addresses) {
        changed = targets_.insert(address).second || changed;
    }
    if (changed) {
        hub_.setTargets({targets_.begin(), targets_.end()});
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
    core_.onEntryUp(peer, ProcessClock::now());
}

void RepeatableJobAgentProcess::onLinkDown(Incarnation peer, bool processGone)
{
    log_.warn(fmt::format("event=entry_down incarnation={:016x} process_gone={}", toWire(peer), processGone));
    core_.onEntryDown(peer, processGone, ProcessClock::now());
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
    targets_.erase(address);
}

void RepeatableJobAgentProcess::onFrameEnd()
{ }

std::string RepeatableJobAgentProcess::metricsText() const
{
    std::string text;
    writeCounters(core_.counters(), text);
    writeHistograms("agent_stage", core_.histograms(), text);
    writeGauge("agent_held_runs", static_cast<double>(core_.unfinishedRuns()), text);
    writeGauge("agent_free_cpu", core_.freeResources().cpu, text);
    writeGauge("agent_entry_links", static_cast<double>(hub_.linkCount()), text);
    writeGauge("log_lines_dropped", static_cast<double>(log_.dropped()), text);
    return text;
}

}
