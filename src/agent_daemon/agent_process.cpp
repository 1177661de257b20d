/** @file agent_process.cpp The agent's threads, and the decision thread's loop. */

#include "agent_daemon/agent_process.h"

#include "daemon/logging.h"
#include "daemon/metrics.h"
#include "daemon/stop_signal.h"

#include <nlohmann/json.hpp>

namespace medlarmill
{

namespace
{

constexpr Duration TICK = Millis(10); ///< Time between ticks of the decisions.
constexpr int EVENTS_PER_TURN = 256; ///< Events taken from one ring before the messages of the turn are sent.
constexpr int EXIT_DRAIN_LIMIT = 3; ///< Exit code when a planned stop left work behind.
constexpr unsigned STATUS_OK = 200;
constexpr unsigned STATUS_NOT_READY = 503;

}

AgentProcess::AgentProcess(AgentProcessSettings settings)
    : settings_(std::move(settings))
    , hub_({settings_.core.incarnation,
            [this] {
                const std::lock_guard lock(helloMutex_);
                return hello_;
            }},
           bell_)
    , outbox_(hub_)
    , endpoint_(bell_)
    , core_(settings_.core, *this)
    , admin_([this](const std::string &command) {
        if (command == "drain") {
            drainRequested_ = true;
            bell_.ring();
            return std::string(R"({"result":"draining"})");
        }
        const std::lock_guard lock(statusMutex_);
        return command == "status" ? status_ : std::string(R"({"error":"unknown command: use status or drain"})");
    })
{
    core_.onEndpointChanged(0);
    publishHello();
}

void AgentProcess::publishHello()
{
    const std::lock_guard lock(helloMutex_);
    hello_ = core_.hello();
}

absl::Status AgentProcess::start()
{
    absl::Status status = endpoint_.start(settings_.httpListen);
    if (status.ok() && !settings_.adminListen.empty()) {
        status = admin_.start(settings_.adminListen);
    }
    if (!status.ok()) {
        return status;
    }
    hub_.start();
    outbox_.setTargets(settings_.entries);
    logOf(LogArea::Main)
        .info("event=started incarnation={:016x} service={} zone={}", toWire(settings_.core.incarnation), settings_.core.service,
              settings_.core.zone);
    return absl::OkStatus();
}

int AgentProcess::run()
{
    const absl::Status status = start();
    if (!status.ok()) {
        logOf(LogArea::Main).error("event=start_failed error=\"{}\"", std::string(status.message()));
        return 1;
    }
    Instant nextTick = ProcessClock::now();
    Instant drainUntil = NEVER;
    while (true) {
        now_ = ProcessClock::now();
        turn();
        if (now_ >= nextTick) {
            nextTick = now_ + TICK;
            core_.tick(now_);
            outbox_.flush();
            const std::lock_guard lock(statusMutex_);
            status_ = statusText();
        }
        if ((isStopRequested() || drainRequested_) && drainUntil == NEVER) {
            logOf(LogArea::Main).info("event=drain_started running={}", core_.running());
            core_.startLeaving();
            publishHello();
            drainUntil = now_ + settings_.drainLimit;
        }
        if (drainUntil != NEVER && core_.isStopped()) {
            outbox_.flush();
            hub_.stop();
            logOf(LogArea::Main).info("event=stopped");
            return 0;
        }
        if (now_ >= drainUntil) {
            logOf(LogArea::Main).error("event=drain_limit running={} remedy=\"raise --drain-limit-ms\"", core_.running());
            return EXIT_DRAIN_LIMIT;
        }
        bell_.wait(nextTick - ProcessClock::now());
    }
}

void AgentProcess::turn()
{
    if (!outbox_.flush() || !flushCommands()) {
        return; // Another thread is behind: take no new events until it has caught up.
    }
    takeEndpointEvents();
    takeLinkEvents();
    outbox_.flush();
    flushCommands();
}

bool AgentProcess::flushCommands()
{
    while (!commands_.empty()) {
        if (!endpoint_.command(commands_.front())) {
            return false;
        }
        commands_.pop_front();
    }
    return true;
}

void AgentProcess::takeLinkEvents()
{
    for (int count = 0; count < EVENTS_PER_TURN; ++count) {
        const auto event = hub_.nextEvent();
        if (event == nullptr) {
            return;
        }
        if (event->kind == LinkEventKind::DialedUp) {
            logOf(LogArea::Link)
                .info("event=entry_up entry={} incarnation={:016x}", event->hello.peer_hello().name(), toWire(event->sender));
            core_.onEntryConnected(event->sender, now_);
        } else if (event->kind == LinkEventKind::DialedDown) {
            logOf(LogArea::Link).info("event=entry_down incarnation={:016x}", toWire(event->sender));
            core_.onEntryDisconnected(event->sender);
        }
        for (const wire::Message &message : event->frame.messages()) {
            core_.onEntryMessage(event->sender, message, now_);
        }
    }
    bell_.ring();
}

void AgentProcess::takeEndpointEvents()
{
    while (auto event = endpoint_.nextEvent()) {
        onEndpointEvent(std::move(*event));
    }
}

void AgentProcess::onEndpointEvent(EndpointEvent event)
{
    switch (event.kind) {
    case EndpointEventKind::Finished:
        core_.onTaskFinished(event.key, std::move(event.outcome), now_);
        break;
    case EndpointEventKind::Announced:
        core_.onEndpointChanged(std::min(event.slots, settings_.core.slots));
        publishHello();
        break;
    case EndpointEventKind::Leaving:
        drainRequested_ = true;
        break;
    case EndpointEventKind::MetricsWanted: {
        const bool readiness = event.slots == 1;
        const bool ready = core_.isActive() && !core_.isLeaving();
        const std::string state = ready ? "ready\n" : core_.isLeaving() ? "leaving\n" : "not admitted by every entry of the roster yet\n";
        endpoint_.replyText(event.reader, readiness && !ready ? STATUS_NOT_READY : STATUS_OK, readiness ? state : metricsText());
        break;
    }
    }
}

std::string AgentProcess::metricsText() const
{
    std::string text;
    writeCounters(core_.counters(), text);
    writeGauge("agent_running_tasks", static_cast<double>(core_.running()), text);
    writeGauge("agent_config_version", static_cast<double>(core_.configVersion()), text);
    writeGauge("agent_roster_version", static_cast<double>(core_.rosterVersion()), text);
    writeGauge("agent_frames_sent", static_cast<double>(outbox_.frames()), text);
    writeGauge("agent_work_frames_sent", static_cast<double>(outbox_.workFrames()), text);
    writeGauge("agent_control_bytes_sent", static_cast<double>(outbox_.controlBytes()), text);
    writeGauge("agent_work_bytes_sent", static_cast<double>(outbox_.workBytes()), text);
    writeGauge("agent_messages_sent", static_cast<double>(outbox_.messages()), text);
    return text;
}

std::string AgentProcess::statusText() const
{
    const nlohmann::json document = {{"name", settings_.core.name},
                                     {"service", settings_.core.service},
                                     {"zone", settings_.core.zone},
                                     {"active", core_.isActive()},
                                     {"leaving", core_.isLeaving()},
                                     {"running", core_.running()},
                                     {"config_version", static_cast<std::uint64_t>(core_.configVersion())},
                                     {"roster_version", static_cast<std::uint64_t>(core_.rosterVersion())}};
    return document.dump();
}

void AgentProcess::sendToEntry(Incarnation entry, wire::Message message)
{
    outbox_.add(entry, std::move(message));
}

void AgentProcess::resetEntry(Incarnation entry)
{
    outbox_.reset(entry);
}

void AgentProcess::startTask(const TaskKey &key, std::string_view kind, std::string_view payload, Duration timeLeft)
{
    auto command = std::make_unique<EndpointCommand>();
    command->key = key;
    command->kind = kind;
    command->payload = payload;
    command->timeLeft = timeLeft;
    commands_.push_back(std::move(command));
}

void AgentProcess::stopTask(const TaskKey &key)
{
    auto command = std::make_unique<EndpointCommand>();
    command->isStop = true;
    command->key = key;
    commands_.push_back(std::move(command));
}

void AgentProcess::rosterChanged(const wire::Roster &roster)
{
    std::vector<std::string> targets = settings_.entries;
    for (const wire::RosterMember &member : roster.members()) {
        targets.push_back(member.address());
    }
    outbox_.setTargets(std::move(targets));
}

}
