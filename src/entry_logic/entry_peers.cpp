/** @file entry_peers.cpp Communication of an entry with agents and other entries: heartbeats, roster, hand-over, takeover, witnesses. */

#include "entry_logic/entry_core.h"

#include "config/config_func.h"
#include "core/hash_func.h"
#include "entry_logic/roster_func.h"

namespace medlarmill
{

wire::ServiceUpdate EntryCore::serviceUpdate(std::string_view service) const
{
    wire::ServiceUpdate update;
    const auto found = config_.services.find(service);
    if (found != config_.services.end()) {
        update.set_version(static_cast<std::uint64_t>(config_.version));
        update.set_name(found->first);
        update.set_json(serviceToJson(found->second));
    }
    return update;
}

void EntryCore::onAgentHello(const wire::AgentHello &hello, Instant now)
{
    const Incarnation agent = toIncarnation(hello.incarnation());
    for (const Incarnation replaced : membership_.onAgentHello(hello, now)) {
        counters_.add("entry_agents_replaced");
        dispatcher_.removeAgent(replaced);
        markTasksLost(replaced, now);
    }
    dispatcher_.addAgent(agent, hello.service(), hello.zone() == settings_.membership.zone);
    if (membership_.isMember()) {
        sendAdmit(agent);
    }
    queryOutstandingTasks(agent);
}

void EntryCore::sendAdmit(Incarnation agent)
{
    wire::Message message;
    *message.mutable_admit()->mutable_roster() = membership_.roster();
    *message.mutable_admit()->mutable_service() = serviceUpdate(membership_.findAgent(agent)->service);
    output_.sendToAgent(agent, std::move(message));
    sendFenceRequests(agent);
}

void EntryCore::sendFenceRequests(Incarnation agent)
{
    for (const Incarnation removed : membership_.pendingFences(agent)) {
        wire::Message message;
        message.mutable_fence_request()->set_incarnation(toWire(removed));
        *message.mutable_fence_request()->mutable_roster() = membership_.roster();
        output_.sendToAgent(agent, std::move(message));
    }
}

void EntryCore::queryOutstandingTasks(Incarnation agent)
{
    const auto found = outstandingTasks_.find(agent);
    if (found == outstandingTasks_.end() || found->second.empty()) {
        return;
    }
    wire::Message message;
    for (const auto &[key, outstanding] : found->second) {
        wire::TaskRef *ref = message.mutable_task_query()->add_tasks();
        ref->set_submission_id(key.submission);
        ref->set_index(static_cast<std::uint32_t>(key.index));
    }
    counters_.add("entry_tasks_queried", found->second.size());
    output_.sendToAgent(agent, std::move(message));
}

void EntryCore::onAgentDisconnected(Incarnation agent)
{
    membership_.onAgentDisconnected(agent);
    dispatcher_.removeAgent(agent);
}

void EntryCore::onHeartbeat(Incarnation agent, const wire::Heartbeat &heartbeat, Instant now)
{
    AgentView *view = membership_.findAgent(agent);
    view->stamp = std::max(view->stamp, heartbeat.stamp());
    view->configVersion = heartbeat.config_version();
    view->slots = heartbeat.slots();
    view->leaving = view->leaving || heartbeat.leaving();
    if (view->leaving) {
        dispatcher_.removeAgent(agent);
    }
    wire::Message message;
    message.mutable_heartbeat_ack()->set_stamp(heartbeat.stamp());
    message.mutable_heartbeat_ack()->set_roster_version(membership_.roster().version());
    message.mutable_heartbeat_ack()->set_waiting(dispatcher_.waiting(view->service));
    message.mutable_heartbeat_ack()->set_config_version(static_cast<std::uint64_t>(config_.version));
    output_.sendToAgent(agent, std::move(message));
    dispatchTasks(view->service, now);
}

void EntryCore::onGoodbye(Incarnation agent, const wire::Goodbye &goodbye, Instant now)
{
    // Process the records of all home entries, because this entry may have taken over a job that another home entry started.
    for (const wire::HomeRecords &records : goodbye.homes()) {
        for (const wire::TaskReport &report : records.records()) {
            onTaskReport(agent, report, now);
        }
    }
    // Outstanding tasks without a record never reached the agent.
    const auto outstanding = outstandingTasks_.find(agent);
    std::vector<wire::TaskReport> neverSeen;
    if (outstanding != outstandingTasks_.end()) {
        for (const auto &[key, unused] : outstanding->second) {
            wire::TaskReport &report = neverSeen.emplace_back();
            report.set_submission_id(key.submission);
            report.set_index(static_cast<std::uint32_t>(key.index));
            report.set_state(wire::TASK_NOT_RUN);
            report.set_reason(static_cast<std::uint32_t>(Reason::NeverSeen));
        }
    }
    membership_.onGoodbye(agent, goodbye);
    dispatcher_.removeAgent(agent);
    for (const wire::TaskReport &report : neverSeen) {
        onTaskReport(agent, report, now);
    }
    wire::Message message;
    message.mutable_goodbye_ack();
    output_.sendToAgent(agent, std::move(message));
}

void EntryCore::onPeerConnected(Incarnation peer, Instant now)
{
    membership_.onPeerConnected(peer, now);
    relays_.makeAllDue(now);
    nextResend_ = now;
}

void EntryCore::onPeerDisconnected(Incarnation peer)
{
    membership_.onPeerDisconnected(peer);
}

void EntryCore::onPeerHeartbeat(Incarnation peer, const wire::PeerHeartbeat &heartbeat, Instant now)
{
    membership_.onPeerHeartbeat(peer, heartbeat, now);
    if (heartbeat.roster_version() < membership_.roster().version()) {
        wire::Message message;
        *message.mutable_roster_update()->mutable_roster() = membership_.roster();
        output_.sendToPeer(peer, std::move(message));
    }
    if (heartbeat.config_version() < static_cast<std::uint64_t>(acceptedConfigVersion_)) {
        wire::Message message;
        message.mutable_config_update()->set_version(static_cast<std::uint64_t>(acceptedConfigVersion_));
        message.mutable_config_update()->set_json(acceptedConfigText_);
        output_.sendToPeer(peer, std::move(message));
    }
    for (auto &[service, peers] : peerDemands_) {
        peers[peer].headRank = NEVER;
    }
    for (const wire::ServiceBacklog &backlog : heartbeat.backlog()) {
        peerDemands_[backlog.service()][peer].headRank = now + Millis(backlog.head_rank_ms());
    }
    activateConfig(now);
    if (now >= nextResend_) {
        sendDueRequests(now);
    }
}

void EntryCore::sendHeartbeats(Instant now)
{
    wire::Message message;
    wire::PeerHeartbeat *heartbeat = message.mutable_peer_heartbeat();
    heartbeat->set_roster_version(membership_.roster().version());
    heartbeat->set_config_version(static_cast<std::uint64_t>(acceptedConfigVersion_));
    for (const Incarnation heard : membership_.liveMembers(now)) {
        heartbeat->add_hears(toWire(heard));
    }
    for (const std::string &service : dispatcher_.servicesWithWaitingTasks()) {
        wire::ServiceBacklog *backlog = heartbeat->add_backlog();
        backlog->set_service(service);
        backlog->set_work_ms(toMillis(dispatcher_.backlog(service)) + 1);
        backlog->set_head_rank_ms(std::chrono::duration_cast<Millis>(*dispatcher_.headRank(service) - now).count());
    }
    for (const Incarnation peer : membership_.connectedPeers()) {
        output_.sendToPeer(peer, message);
        if (membership_.isMember() && membership_.isLinkOneWay(peer, now)) {
            counters_.add("entry_peer_resets");
            output_.resetPeer(peer);
        }
    }
}

void EntryCore::sendDueRequests(Instant now)
{
    nextResend_ = now + settings_.resendInterval;
    for (const Incarnation member : membership_.pendingHandovers()) {
        wire::Message message;
        *message.mutable_handover_request()->mutable_roster() = membership_.roster();
        output_.sendToPeer(member, std::move(message));
    }
    for (const auto &[member, removed] : membership_.pendingWitnessRequests()) {
        wire::Message message;
        message.mutable_witnessed_request()->set_incarnation(toWire(removed));
        *message.mutable_witnessed_request()->mutable_roster() = membership_.roster();
        output_.sendToPeer(member, std::move(message));
    }
    for (const auto &[agent, view] : membership_.agents()) {
        if (view.connected && membership_.isMember()) {
            sendFenceRequests(agent);
        }
    }
}

void EntryCore::adoptRoster(const wire::Roster &roster, Instant now)
{
    const bool wasMember = membership_.isMember();
    if (!membership_.adoptRoster(roster, now)) {
        return;
    }
    counters_.add("entry_rosters_adopted");
    output_.rosterChanged(membership_.roster());
    wire::Message update;
    *update.mutable_roster_update()->mutable_roster() = membership_.roster();
    for (const auto &[agent, view] : membership_.agents()) {
        if (!view.connected) {
            continue;
        }
        output_.sendToAgent(agent, update);
        if (!wasMember && membership_.isMember()) {
            sendAdmit(agent);
        }
    }
    relays_.makeAllDue(now);
    sendDueRequests(now);
    sendHeartbeats(now);
    for (Job *job : jobs_.answeredWithLostWitness(membership_.roster())) {
        requestWitness(*job, now);
    }
}

void EntryCore::onHandoverRequest(Incarnation peer, const wire::HandoverRequest &request, Instant now)
{
    adoptRoster(request.roster(), now);
    wire::Message message;
    wire::HandoverReply *reply = message.mutable_handover_reply();
    membership_.fillHandoverReply(*reply);
    const Incarnation self = settings_.membership.incarnation;
    const wire::RosterMember *row = findMember(membership_.roster(), self);
    const bool isLeaving = draining_ || (row != nullptr && row->leaving());
    // The peer can become the home of every id for which its rendezvous score is higher than that of this entry, now or after other members
    // were removed.
    for (const SubmissionId &id : jobs_.ids()) {
        if (isLeaving || homeScore(id, peer) > homeScore(id, self)) {
            reply->add_known_ids(id);
        }
    }
    for (const Incarnation home : isLeaving ? relays_.homesWithRecordedAnswers() : std::vector<Incarnation>()) {
        wire::HomeAnswers *answers = reply->add_witnessed();
        answers->set_home(toWire(home));
        for (const wire::Answer &answer : relays_.recordedAnswers(home)) {
            *answers->add_answers() = answer;
        }
    }
    output_.sendToPeer(peer, std::move(message));
}

void EntryCore::onWitnessedRequest(Incarnation peer, const wire::WitnessedRequest &request, Instant now)
{
    adoptRoster(request.roster(), now);
    wire::Message message;
    wire::WitnessedReply *reply = message.mutable_witnessed_reply();
    reply->set_incarnation(request.incarnation());
    for (const wire::Answer &answer : relays_.recordedAnswers(toIncarnation(request.incarnation()))) {
        *reply->add_answers() = answer;
    }
    output_.sendToPeer(peer, std::move(message));
}

void EntryCore::requestWitness(Job &job, Instant now)
{
    job.witnessRetryAt = now + settings_.resendInterval;
    job.witness = membership_.chooseWitness(now);
    if (job.witness == INVALID_INCARNATION) {
        counters_.add("entry_witness_missing");
        return;
    }
    wire::Message message;
    *message.mutable_witness()->mutable_answer() = job.answer;
    output_.sendToPeer(job.witness, std::move(message));
}

void EntryCore::onWitness(Incarnation peer, const wire::Witness &message, Instant now)
{
    if (isRemoved(membership_.roster(), peer)) {
        wire::Message update;
        *update.mutable_roster_update()->mutable_roster() = membership_.roster();
        output_.sendToPeer(peer, std::move(update));
        return;
    }
    if (!relays_.recordAnswer(peer, message.answer(), now)) {
        counters_.add("entry_witness_table_full");
        return;
    }
    wire::Message ack;
    ack.mutable_witness_ack()->set_submission_id(message.answer().submission_id());
    output_.sendToPeer(peer, std::move(ack));
}

void EntryCore::onWitnessAck(const wire::WitnessAck &message, Instant now)
{
    Job *job = jobs_.find(message.submission_id());
    if (job != nullptr && job->phase == JobPhase::AwaitingWitness) {
        deliverAnswer(*job, now);
    }
}

void EntryCore::onCreditRequest(Incarnation peer, const wire::CreditRequest &request, Instant now)
{
    PeerDemand demand;
    for (const wire::JobDemand &job : request.jobs()) {
        demand.jobs.push_back({now + Millis(job.rank_ms()), job.tasks()});
    }
    demand.headRank = demand.jobs.empty() ? NEVER : demand.jobs.front().rank;
    demand.validUntil = now + CREDIT_REQUEST_LIFETIME;
    peerDemands_[request.service()][peer] = std::move(demand);
    passCreditsToPeers(request.service(), now);
}

void EntryCore::onRosterRead(const wire::Roster &roster, Instant now)
{
    proposalPending_ = false;
    rosterRead_ = true;
    membership_.onStoreRead(now);
    adoptRoster(roster, now);
}

void EntryCore::onRosterProposalFailed()
{
    proposalPending_ = false;
}

void EntryCore::tickRoster(Instant now)
{
    const bool known = membership_.roster().version() != 0 || rosterRead_;
    if (proposalPending_ || !known) {
        return;
    }
    const bool finished = jobs_.openCount() == 0 && relays_.pendingCount() == 0 && membership_.roster().members_size() > 0;
    const wire::Roster wanted = membership_.proposedRoster(now, output_.unixMs(), draining_, finished);
    if (wanted.version() == 0) {
        return;
    }
    proposalPending_ = true;
    counters_.add("entry_roster_proposals");
    output_.proposeRoster(wanted);
}

}
