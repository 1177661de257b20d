/** @file entry_process.cpp One life of an entry. */

#include "entry_daemon/entry_process.h"

#include "daemon/logging.h"
#include "daemon/random.h"
#include "daemon/stop_signal.h"
#include "table/http_table_service.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace medlarmill
{

namespace
{

constexpr Duration TICK = Millis(10); ///< Time between ticks of the decisions.
constexpr int EVENTS_PER_TURN = 256; ///< Events taken from one ring before the messages of the turn are sent.
constexpr std::size_t ADMIN_RING = 16; ///< Operators' commands that may wait.
constexpr std::chrono::seconds ADMIN_PATIENCE{3}; ///< Time for the decision thread to answer a command.
constexpr unsigned STATUS_OK = 200;
constexpr unsigned STATUS_NOT_READY = 503;

}

EntryProcess::EntryProcess(EntryProcessSettings settings)
    : settings_(std::move(settings))
    , hub_({settings_.core.membership.incarnation,
            [this] {
                return hello();
            }},
           bell_)
    , outbox_(hub_)
    , gateway_(settings_.http, settings_.maxCallers, bell_)
    , store_(std::make_unique<HttpTableService>(settings_.platform, settings_.storeTimeout),
             fmt::format("{}/{}", ROSTER_KEY, settings_.cell), settings_.storeInterval, bell_)
    , adminCommands_(ADMIN_RING, bell_)
    , core_(settings_.core, *this)
    , admin_([this](const std::string &command) {
        auto item = std::make_unique<AdminCommand>();
        item->command = command;
        std::future<std::string> reply = item->reply.get_future();
        if (!adminCommands_.tryPush(item) || reply.wait_for(ADMIN_PATIENCE) != std::future_status::ready) {
            return std::string(R"({"error":"the entry is busy: try again"})");
        }
        return reply.get();
    })
{ }

wire::Message EntryProcess::hello() const
{
    wire::Message message;
    wire::PeerHello *hello = message.mutable_peer_hello();
    hello->set_name(settings_.core.membership.name);
    hello->set_incarnation(toWire(settings_.core.membership.incarnation));
    hello->set_zone(settings_.core.membership.zone);
    return message;
}

absl::Status EntryProcess::start()
{
    absl::Status status = hub_.listen(settings_.listen);
    if (status.ok()) {
        status = gateway_.start(settings_.httpListen);
    }
    if (status.ok()) {
        status = admin_.start(settings_.adminListen);
    }
    if (!status.ok()) {
        return status;
    }
    hub_.start();
    store_.start();
    outbox_.setTargets(settings_.peers);
    logOf(LogArea::Main)
        .info("event=started incarnation={:016x} cell={} zone={}", toWire(settings_.core.membership.incarnation), settings_.cell,
              settings_.core.membership.zone);
    return absl::OkStatus();
}

EntryExit EntryProcess::run()
{
    const absl::Status status = start();
    if (!status.ok()) {
        logOf(LogArea::Main).error("event=start_failed error=\"{}\"", std::string(status.message()));
        return EntryExit::Failed;
    }
    Instant nextTick = ProcessClock::now();
    Instant drainUntil = NEVER;
    std::string readiness = "unknown";
    while (true) {
        now_ = ProcessClock::now();
        turn();
        if (now_ >= nextTick) {
            nextTick = now_ + TICK;
            core_.tick(now_);
            outbox_.flush();
        }
        if (isStopRequested() && drainUntil == NEVER) {
            logOf(LogArea::Main).info("event=drain_started open_jobs={}", core_.jobs().openCount());
            core_.startDraining();
            drainUntil = now_ + settings_.drainLimit;
        }
        const std::string reason = core_.notReadyReason();
        if (reason != readiness) {
            readiness = reason;
            logOf(LogArea::Main).info("event=readiness ready={} reason=\"{}\"", reason.empty(), reason);
        }
        if (drainUntil != NEVER && core_.isStopped()) {
            gateway_.stop();
            logOf(LogArea::Main).info("event=stopped");
            return EntryExit::Stopped;
        }
        if (now_ >= drainUntil) {
            logOf(LogArea::Main)
                .error("event=drain_limit open_jobs={} remedy=\"raise --drain-limit-ms or check the endpoints\"", core_.jobs().openCount());
            gateway_.stop();
            return EntryExit::DrainLimit;
        }
        if (drainUntil == NEVER && core_.membership().wasRemoved()) {
            logOf(LogArea::Main).warn("event=removed_from_roster remedy=\"starting again under a new incarnation\"");
            gateway_.stop();
            return EntryExit::Restart;
        }
        bell_.wait(nextTick - ProcessClock::now());
    }
}

void EntryProcess::turn()
{
    if (!outbox_.flush()) {
        return; // The link thread is behind: take no new events until it has caught up.
    }
    takeStoreEvents();
    takeCallerRequests();
    takeAdminCommands();
    if (takeLinkEvents()) {
        bell_.ring();
    }
    outbox_.flush();
}

bool EntryProcess::takeLinkEvents()
{
    for (int count = 0; count < EVENTS_PER_TURN; ++count) {
        const auto event = hub_.nextEvent();
        if (event == nullptr) {
            return false;
        }
        onLinkEvent(*event);
    }
    return true;
}

void EntryProcess::onLinkEvent(const LinkEvent &event)
{
    switch (event.kind) {
    case LinkEventKind::DialedUp:
        logOf(LogArea::Link).info("event=peer_up peer={} incarnation={:016x}", event.hello.peer_hello().name(), toWire(event.sender));
        core_.onPeerConnected(event.sender, now_);
        break;
    case LinkEventKind::DialedDown:
        logOf(LogArea::Link).info("event=peer_down incarnation={:016x}", toWire(event.sender));
        core_.onPeerDisconnected(event.sender);
        break;
    case LinkEventKind::AgentUp:
        logOf(LogArea::Link).info("event=agent_up agent={} incarnation={:016x}", event.hello.agent_hello().name(), toWire(event.sender));
        core_.onAgentHello(event.hello.agent_hello(), now_);
        break;
    case LinkEventKind::AgentDown:
        logOf(LogArea::Link).info("event=agent_down incarnation={:016x}", toWire(event.sender));
        core_.onAgentDisconnected(event.sender);
        break;
    case LinkEventKind::Messages:
        for (const wire::Message &message : event.frame.messages()) {
            if (event.fromAgent) {
                core_.onAgentMessage(event.sender, message, now_);
            } else {
                core_.onPeerMessage(event.sender, message, now_);
            }
        }
        break;
    }
}

void EntryProcess::takeStoreEvents()
{
    while (const auto event = store_.nextEvent()) {
        storeError_ = event->error;
        if (!event->reachable) {
            core_.onRosterProposalFailed();
            continue;
        }
        core_.onRosterRead(event->roster, now_);
        if (event->configRead) {
            core_.onConfigRead(event->configVersion, event->config, now_);
        }
        if (event->configVersion != INVALID_CONFIG_VERSION) {
            logOf(LogArea::Home).info("event=config_read version={}", static_cast<std::uint64_t>(event->configVersion));
        }
    }
}

void EntryProcess::takeCallerRequests()
{
    for (int count = 0; count < EVENTS_PER_TURN; ++count) {
        auto request = gateway_.nextRequest();
        if (request == nullptr) {
            return;
        }
        onCallerRequest(std::move(*request));
    }
    bell_.ring();
}

void EntryProcess::onCallerRequest(CallerRequest request)
{
    switch (request.kind) {
    case CallerRequestKind::Submit:
        submittedAt_[request.caller] = now_;
        core_.submit(request.caller, std::move(request.job), now_);
        break;
    case CallerRequestKind::Fetch:
        core_.fetch(request.caller, request.job.submission_id(), now_);
        break;
    case CallerRequestKind::Cancel:
        core_.cancel(request.caller, request.job.submission_id(), now_);
        break;
    case CallerRequestKind::Ready: {
        const std::string reason = core_.notReadyReason();
        const std::string detail = reason.empty() || storeError_.empty() ? reason : reason + "; " + storeError_;
        replyText(request.caller, reason.empty() ? STATUS_OK : STATUS_NOT_READY, (reason.empty() ? "ready" : detail) + "\n", false);
        break;
    }
    case CallerRequestKind::Metrics:
        replyText(request.caller, STATUS_OK, metricsText(), false);
        break;
    case CallerRequestKind::Status:
        replyText(request.caller, STATUS_OK, statusText(), true);
        break;
    case CallerRequestKind::ConfigText:
        replyText(request.caller, STATUS_OK,
                  fmt::format(R"({{"version":{},"document":{}}})", static_cast<std::uint64_t>(core_.config().version),
                              core_.configText().empty() ? "null" : core_.configText()),
                  true);
        break;
    }
}

void EntryProcess::takeAdminCommands()
{
    while (const auto command = adminCommands_.tryPop()) {
        command->reply.set_value(onAdmin(command->command));
    }
}

std::string EntryProcess::onAdmin(const std::string &command)
{
    if (command == "status") {
        return statusText();
    }
    if (command == "drain") {
        std::raise(SIGTERM);
        return R"({"result":"draining"})";
    }
    return R"({"error":"unknown command: use status or drain"})";
}

void EntryProcess::replyText(CallerToken caller, unsigned status, std::string text, bool isJson)
{
    auto reply = std::make_unique<CallerReply>();
    reply->caller = caller;
    reply->status = status;
    reply->text = std::move(text);
    reply->isJson = isJson;
    gateway_.reply(std::move(reply));
}

std::string EntryProcess::metricsText() const
{
    std::string text;
    writeCounters(core_.counters(), text);
    writeGauge("entry_open_jobs", static_cast<double>(core_.jobs().openCount()), text);
    writeGauge("entry_retained_jobs", static_cast<double>(core_.jobs().size()), text);
    writeGauge("entry_job_bytes", static_cast<double>(core_.jobs().bytes()), text);
    writeGauge("entry_config_version", static_cast<double>(core_.config().version), text);
    writeGauge("entry_roster_version", static_cast<double>(core_.membership().roster().version()), text);
    writeGauge("entry_frames_sent", static_cast<double>(outbox_.frames()), text);
    writeGauge("entry_work_frames_sent", static_cast<double>(outbox_.workFrames()), text);
    writeGauge("entry_control_bytes_sent", static_cast<double>(outbox_.controlBytes()), text);
    writeGauge("entry_work_bytes_sent", static_cast<double>(outbox_.workBytes()), text);
    writeGauge("entry_messages_sent", static_cast<double>(outbox_.messages()), text);
    writeGauge("entry_ring_full", static_cast<double>(outbox_.fullRings() + gateway_.refused()), text);
    writeGauge("entry_slow_receivers", static_cast<double>(hub_.slowReceivers()), text);
    for (const auto &[name, service] : core_.config().services) {
        writeGauge(fmt::format("entry_waiting_tasks{{service=\"{}\"}}", name), core_.dispatcher().waiting(name), text);
        writeGauge(fmt::format("entry_idle_credits{{service=\"{}\"}}", name), core_.dispatcher().idleCredits(name), text);
    }
    answerMs_.write("entry_answer_ms", text);
    return text;
}

std::string EntryProcess::statusText() const
{
    using nlohmann::json;
    const Membership &membership = core_.membership();
    json document = {{"name", settings_.core.membership.name},
                     {"incarnation", fmt::format("{:016x}", toWire(settings_.core.membership.incarnation))},
                     {"zone", settings_.core.membership.zone},
                     {"ready", core_.notReadyReason().empty()},
                     {"reason", core_.notReadyReason()},
                     {"config_version", static_cast<std::uint64_t>(core_.config().version)},
                     {"roster_version", membership.roster().version()},
                     {"open_jobs", core_.jobs().openCount()},
                     {"entries", json::array()},
                     {"endpoints", json::array()},
                     {"services", json::object()}};
    for (const wire::RosterMember &member : membership.roster().members()) {
        document["entries"].push_back(
            {{"name", member.name()}, {"address", member.address()}, {"zone", member.zone()}, {"leaving", member.leaving()}});
    }
    for (const auto &[agent, view] : membership.agents()) {
        const char *state = view.departed     ? "left"
            : view.lost                       ? "lost"
            : view.leaving                    ? "leaving"
            : view.suspect || !view.connected ? "silent"
                                              : "up";
        document["endpoints"].push_back({{"name", view.name},
                                         {"service", view.service},
                                         {"zone", view.zone},
                                         {"slots", view.slots},
                                         {"state", state},
                                         {"config_version", view.configVersion}});
    }
    for (const auto &[name, service] : core_.config().services) {
        const Dispatcher &dispatcher = core_.dispatcher();
        document["services"][name] = {{"waiting", dispatcher.waiting(name)},
                                      {"granted", dispatcher.granted(name)},
                                      {"idle_credits", dispatcher.idleCredits(name)},
                                      {"slots", membership.slots(name)}};
    }
    return document.dump();
}

void EntryProcess::sendToAgent(Incarnation agent, wire::Message message)
{
    outbox_.add(agent, std::move(message));
}

void EntryProcess::sendToPeer(Incarnation peer, wire::Message message)
{
    outbox_.add(peer, std::move(message));
}

void EntryProcess::resetPeer(Incarnation peer)
{
    outbox_.reset(peer);
}

void EntryProcess::answerCaller(CallerToken caller, const wire::Answer &answer)
{
    const auto submitted = submittedAt_.find(caller);
    if (submitted != submittedAt_.end()) {
        answerMs_.add(static_cast<double>((now_ - submitted->second).count()) / 1'000.0);
        submittedAt_.erase(submitted);
    }
    auto reply = std::make_unique<CallerReply>();
    reply->caller = caller;
    reply->answer = answer;
    gateway_.reply(std::move(reply));
}

void EntryProcess::proposeRoster(const wire::Roster &roster)
{
    if (!store_.propose(roster)) {
        core_.onRosterProposalFailed();
    }
}

void EntryProcess::rosterChanged(const wire::Roster &roster)
{
    std::vector<std::string> targets = settings_.peers;
    for (const wire::RosterMember &member : roster.members()) {
        if (member.incarnation() != toWire(settings_.core.membership.incarnation)) {
            targets.push_back(member.address());
        }
    }
    outbox_.setTargets(std::move(targets));
    logOf(LogArea::Home).info("event=roster version={} members={}", roster.version(), roster.members_size());
}

std::uint64_t EntryProcess::random()
{
    return systemRandom();
}

std::uint64_t EntryProcess::unixMs()
{
    return medlarmill::unixMs();
}

}
