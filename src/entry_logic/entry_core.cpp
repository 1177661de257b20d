/** @file entry_core.cpp Configuration, message dispatch and periodic work of an entry. */

#include "entry_logic/entry_core.h"

#include "config/config_func.h"
#include "entry_logic/job_func.h"

namespace medlarmill
{

EntryCore::EntryCore(EntrySettings settings, EntryOutput &output)
    : settings_(std::move(settings))
    , output_(output)
    , membership_(settings_.membership)
    , jobs_(settings_.maxJobs, settings_.maxJobBytes, settings_.membership.retention)
    , relays_(settings_.maxRelayedRequests, settings_.maxRecordedAnswers, settings_.membership.retention)
{ }

std::string EntryCore::notReadyReason() const
{
    if (config_.version == INVALID_CONFIG_VERSION) {
        return "no configuration: neither the platform's table nor another entry has given one yet";
    }
    if (membership_.roster().version() == 0) {
        return "no roster: neither the platform's table nor another entry has given one yet";
    }
    if (membership_.wasRemoved()) {
        return "removed from the roster: the entry starts again under a new incarnation";
    }
    return draining_ ? "draining: a planned stop is under way" : "";
}

bool EntryCore::isStopped() const
{
    const bool idle = jobs_.openCount() == 0 && relays_.pendingCount() == 0;
    return draining_ && idle && !membership_.isMember();
}

void EntryCore::onConfigRead(ConfigVersion version, std::string_view text, Instant now)
{
    configRead_ = true;
    onConfig(version, text, now);
    activateConfig(now);
}

void EntryCore::onConfig(ConfigVersion version, std::string_view text, Instant now)
{
    if (version <= acceptedConfigVersion_) {
        return;
    }
    const absl::StatusOr<Config> config = readAcceptedConfig(text, version);
    if (!config.ok()) {
        counters_.add("entry_config_rejected");
        return;
    }
    acceptedConfigVersion_ = version;
    acceptedConfigText_ = text;
    sendHeartbeats(now);
    activateConfig(now);
}

void EntryCore::activateConfig(Instant now)
{
    // The platform table may hold a newer version than the other entries, and this entry may have used that version before its restart, so
    // it waits for the table first.
    const bool mayActivate = configRead_ || (startedAt_ != NEVER && now >= startedAt_ + settings_.tableReadTimeout);
    if (!mayActivate || acceptedConfigVersion_ <= config_.version || !membership_.allLiveMembersHaveConfig(acceptedConfigVersion_, now)) {
        return;
    }
    absl::StatusOr<Config> config = readAcceptedConfig(acceptedConfigText_, acceptedConfigVersion_);
    const Config previous = std::move(config_);
    config_ = *std::move(config);
    configText_ = acceptedConfigText_;
    counters_.add("entry_config_adopted");
    const auto members = static_cast<std::uint32_t>(std::max(membership_.roster().members_size(), 1));
    for (const auto &[name, service] : config_.services) {
        dispatcher_.setConcurrencyLimit(name, (service.concurrencyLimit + members - 1) / members);
    }
    for (const auto &[agent, view] : membership_.agents()) {
        const auto service = config_.services.find(view.service);
        const auto previousService = previous.services.find(view.service);
        const bool changed = service != config_.services.end()
            && (previousService == previous.services.end() || !(previousService->second == service->second));
        if (!view.connected || !changed) {
            continue;
        }
        wire::Message message;
        *message.mutable_service_update() = serviceUpdate(view.service);
        output_.sendToAgent(agent, std::move(message));
    }
    for (const JobSequence sequence : jobs_.awaitingOwnership()) {
        if (Job *job = jobs_.find(sequence)) {
            resolveOwnership(*job, now);
        }
    }
}

void EntryCore::onAgentMessage(Incarnation agent, const wire::Message &message, Instant now)
{
    AgentView *view = membership_.findAgent(agent);
    if (view == nullptr || !view->connected) {
        return;
    }
    view->lastMessageAt = now;
    view->suspect = false;
    switch (message.body_case()) {
    case wire::Message::kHeartbeat:
        onHeartbeat(agent, message.heartbeat(), now);
        break;
    case wire::Message::kCreditOffer:
        dispatcher_.addCredits(agent, {message.credit_offer().general(), message.credit_offer().short_only()});
        dispatchTasks(view->service, now);
        break;
    case wire::Message::kTaskReport:
        onTaskReport(agent, message.task_report(), now);
        break;
    case wire::Message::kFenceReply:
        membership_.onFenceReply(agent, message.fence_reply());
        break;
    case wire::Message::kGoodbye:
        onGoodbye(agent, message.goodbye(), now);
        break;
    default:
        counters_.add("entry_unexpected_messages");
        break;
    }
}

void EntryCore::onPeerMessage(Incarnation peer, const wire::Message &message, Instant now)
{
    membership_.onPeerActivity(peer, now);
    switch (message.body_case()) {
    case wire::Message::kForwardJob:
        counters_.add("entry_forwards_received");
        routeSubmission(message.forward_job().job(), {INVALID_CALLER_TOKEN, peer, digestOf(message.forward_job().job())},
                        message.forward_job().hops(), now);
        break;
    case wire::Message::kJobAnswer:
        onJobAnswer(peer, message.job_answer(), now);
        break;
    case wire::Message::kFetchJob:
        fetchOrCancel(RequestKind::Fetch, message.fetch_job().submission_id(), {INVALID_CALLER_TOKEN, peer, 0}, message.fetch_job().hops(),
                      now);
        break;
    case wire::Message::kCancelJob:
        fetchOrCancel(RequestKind::Cancel, message.cancel_job().submission_id(), {INVALID_CALLER_TOKEN, peer, 0},
                      message.cancel_job().hops(), now);
        break;
    case wire::Message::kPeerHeartbeat:
        onPeerHeartbeat(peer, message.peer_heartbeat(), now);
        break;
    case wire::Message::kHandoverRequest:
        onHandoverRequest(peer, message.handover_request(), now);
        break;
    case wire::Message::kHandoverReply:
        for (const wire::HomeAnswers &answers : message.handover_reply().witnessed()) {
            for (const wire::Answer &answer : answers.answers()) {
                relays_.recordAnswer(toIncarnation(answers.home()), answer, now);
            }
        }
        membership_.onHandoverReply(peer, message.handover_reply(), now);
        break;
    case wire::Message::kWitnessedRequest:
        onWitnessedRequest(peer, message.witnessed_request(), now);
        break;
    case wire::Message::kWitnessedReply:
        membership_.onWitnessedReply(peer, message.witnessed_reply());
        break;
    case wire::Message::kWitness:
        onWitness(peer, message.witness(), now);
        break;
    case wire::Message::kWitnessAck:
        onWitnessAck(message.witness_ack(), now);
        break;
    case wire::Message::kCreditRequest:
        onCreditRequest(peer, message.credit_request(), now);
        break;
    case wire::Message::kRosterUpdate:
        adoptRoster(message.roster_update().roster(), now);
        break;
    case wire::Message::kConfigUpdate:
        onConfig(ConfigVersion{message.config_update().version()}, message.config_update().json(), now);
        break;
    default:
        counters_.add("entry_unexpected_messages");
        break;
    }
}

void EntryCore::tick(Instant now)
{
    startedAt_ = std::min(startedAt_, now);
    for (const Incarnation agent : membership_.expireAgents(now)) {
        counters_.add("entry_agents_lost");
        dispatcher_.removeAgent(agent);
        markTasksLost(agent, now);
    }
    for (const auto &[agent, view] : membership_.agents()) {
        if (view.suspect) {
            dispatcher_.removeAgent(agent);
        }
    }
    tickJobs(now);
    tickRelays(now);
    if (now >= nextHeartbeat_) {
        nextHeartbeat_ = now + settings_.peerHeartbeatInterval;
        sendHeartbeats(now);
    }
    if (now >= nextResend_) {
        nextResend_ = now + settings_.resendInterval;
        sendDueRequests(now);
    }
    tickRoster(now);
    activateConfig(now);
    membership_.expireRecoveredState(now);
    jobs_.expire(now);
    relays_.expire(now);
}

}
