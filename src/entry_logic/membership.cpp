/** @file membership.cpp Roster, ownership of submissions, hand-overs and takeovers of an entry. */

#include "entry_logic/membership.h"

#include "core/hash_func.h"
#include "entry_logic/roster_func.h"

#include <algorithm>

namespace medlarmill
{

namespace
{

constexpr Duration WITNESS_REPLACEMENT_TIME = Millis(5'000); ///< Time to have answers recorded anew after a witness was removed.
constexpr int ISOLATION_DIVISOR = 2; ///< An isolated entry stops deciding after the retention time divided by this.

}

Membership::Membership(MembershipSettings settings)
    : settings_(std::move(settings))
{ }

bool Membership::isMember() const
{
    return findMember(roster_, settings_.incarnation) != nullptr;
}

bool Membership::wasRemoved() const
{
    return joined_ && !isMember();
}

std::vector<Incarnation> Membership::otherMembers() const
{
    std::vector<Incarnation> members;
    for (const wire::RosterMember &member : roster_.members()) {
        if (member.incarnation() != toWire(settings_.incarnation)) {
            members.push_back(toIncarnation(member.incarnation()));
        }
    }
    return members;
}

bool Membership::adoptRoster(const wire::Roster &roster, Instant now)
{
    if (roster.version() <= roster_.version()) {
        return false;
    }
    const wire::Roster previous = roster_;
    roster_ = roster;
    for (const Incarnation member : otherMembers()) {
        PeerView &view = peers_[member];
        view.knownSince = view.knownSince == Instant() ? now : view.knownSince;
    }
    if (!joined_ && isMember()) {
        joined_ = true;
        lastConfirmedAt_ = now;
        for (const Incarnation member : otherMembers()) {
            handovers_[member] = {true};
        }
    } else if (joined_) {
        beginHandovers(previous);
    }
    if (joined_) {
        beginTakeovers(previous, now);
    }
    return true;
}

void Membership::beginHandovers(const wire::Roster &previous)
{
    for (const wire::RosterMember &member : roster_.members()) {
        const Incarnation incarnation = toIncarnation(member.incarnation());
        const wire::RosterMember *previousRow = findMember(previous, incarnation);
        const bool startsLeaving = member.leaving() && previousRow != nullptr && !previousRow->leaving();
        if (startsLeaving && incarnation != settings_.incarnation) {
            handovers_.try_emplace(incarnation, Handover{false});
        }
    }
}

void Membership::beginTakeovers(const wire::Roster &previous, Instant now)
{
    const bool wasMember = findMember(previous, settings_.incarnation) != nullptr;
    for (const wire::RemovedMember &removed : roster_.removed()) {
        const Incarnation incarnation = toIncarnation(removed.incarnation());
        if (takeovers_.contains(incarnation)) {
            continue;
        }
        const auto handover = handovers_.find(incarnation);
        const bool handoverCoversAll = handover != handovers_.end() && handover->second.coversAll;
        const bool wasPeer = wasMember && findMember(previous, incarnation) != nullptr && !handoverCoversAll;
        startTakeover(incarnation, !wasPeer, wasPeer, now);
    }
    for (const auto &[lost, unused] : takeovers_) {
        handovers_.erase(lost);
        for (auto &[removed, takeover] : takeovers_) {
            takeover.onWitnessLost(lost);
        }
    }
}

void Membership::startTakeover(Incarnation removed, bool coversAll, bool allAgentsKnown, Instant now)
{
    Takeover takeover(coversAll, allAgentsKnown, now);
    for (const Incarnation member : otherMembers()) {
        takeover.addWitness(member);
    }
    for (const auto &[agent, view] : agents_) {
        if (view.departed) {
            applyDepartedRecords(takeover, removed, agent);
        }
    }
    for (const auto &[other, earlier] : takeovers_) {
        if (now < earlier.startedAt() + WITNESS_REPLACEMENT_TIME) {
            takeover.setWitnessLost();
        }
    }
    takeovers_.emplace(removed, std::move(takeover));
}

void Membership::applyDepartedRecords(Takeover &takeover, Incarnation removed, Incarnation agent)
{
    const auto found = departedRecords_.find(agent);
    if (found != departedRecords_.end() && found->second.contains(removed)) {
        takeover.onAgentRecords(agent, found->second[removed].records());
        return;
    }
    takeover.onAgentRecords(agent, wire::HomeRecords().records());
}

bool Membership::mayHaveBeenHome(const SubmissionId &id, Incarnation other, bool coversAll) const
{
    const Incarnation minted = mintedHome(id);
    if (minted != INVALID_INCARNATION) {
        return minted == other;
    }
    if (coversAll) {
        return true;
    }
    const auto owner = remoteOwners_.find(id);
    if (owner != remoteOwners_.end() && owner->second == other) {
        return true;
    }
    return homeScore(id, other) > homeScore(id, settings_.incarnation);
}

bool Membership::isComplete(const Takeover &takeover, std::string_view service) const
{
    if (!takeover.hasAllWitnessReplies() || !takeover.areAllAgentsKnown()) {
        return false;
    }
    return std::ranges::all_of(agents_, [&](const auto &item) {
        const bool isOtherService = !service.empty() && item.second.service != service;
        return isOtherService || takeover.hasAgentReported(item.first);
    });
}

Ownership Membership::ownershipOf(const SubmissionId &id, std::string_view service, Instant now) const
{
    const Incarnation minted = mintedHome(id);
    if (minted != INVALID_INCARNATION && minted != settings_.incarnation) {
        if (findMember(roster_, minted) != nullptr) {
            return {OwnershipKind::Remote, minted};
        }
        if (!isRemoved(roster_, minted)) {
            return {OwnershipKind::Expired, INVALID_INCARNATION};
        }
    }
    const auto owner = remoteOwners_.find(id);
    if (owner != remoteOwners_.end() && findMember(roster_, owner->second) != nullptr) {
        return {OwnershipKind::Remote, owner->second};
    }
    const Incarnation home = minted == settings_.incarnation ? minted : rendezvousHome(roster_, id);
    if (home == INVALID_INCARNATION || wasRemoved()) {
        return {};
    }
    if (home != settings_.incarnation) {
        return {OwnershipKind::Remote, home};
    }
    return localOwnership(id, service, now);
}

Ownership Membership::localOwnership(const SubmissionId &id, std::string_view service, Instant now) const
{
    const bool isMinted = mintedHome(id) == settings_.incarnation;
    if (isMinted) {
        return {OwnershipKind::Local, settings_.incarnation};
    }
    if (isIsolated(now)) {
        return {OwnershipKind::Uncertain, settings_.incarnation};
    }
    OwnershipKind kind = OwnershipKind::Local;
    for (const auto &[member, handover] : handovers_) {
        if (mayHaveBeenHome(id, member, handover.coversAll)) {
            kind = OwnershipKind::Pending;
        }
    }
    for (const auto &[removed, takeover] : takeovers_) {
        if (!mayHaveBeenHome(id, removed, takeover.coversAll()) || isComplete(takeover, service)) {
            continue;
        }
        if (now >= takeover.startedAt() + settings_.takeoverTimeout) {
            return {OwnershipKind::Uncertain, settings_.incarnation};
        }
        kind = OwnershipKind::Pending;
    }
    return {kind, settings_.incarnation};
}

RecoveredState Membership::recoveredState(const SubmissionId &id) const
{
    RecoveredState all;
    for (const auto &[removed, takeover] : takeovers_) {
        RecoveredState part = takeover.recoveredState(id);
        if (part.answer != nullptr) {
            all.answer = part.answer;
        }
        std::ranges::move(part.starts, std::back_inserter(all.starts));
    }
    return all;
}

void Membership::onPeerConnected(Incarnation peer, Instant now)
{
    PeerView &view = peers_[peer];
    view.connected = true;
    view.connectedSince = now;
    view.knownSince = view.knownSince == Instant() ? now : view.knownSince;
}

void Membership::onPeerDisconnected(Incarnation peer)
{
    const auto found = peers_.find(peer);
    if (found != peers_.end()) {
        found->second.connected = false;
    }
}

void Membership::onPeerActivity(Incarnation peer, Instant now)
{
    peers_[peer].lastMessageAt = now;
}

void Membership::onPeerHeartbeat(Incarnation peer, const wire::PeerHeartbeat &heartbeat, Instant now)
{
    PeerView &view = peers_[peer];
    view.configVersion = std::max(view.configVersion, ConfigVersion{heartbeat.config_version()});
    view.reportedAlive.clear();
    for (const std::uint64_t heard : heartbeat.hears()) {
        view.reportedAlive.insert(toIncarnation(heard));
    }
    if (view.reportedAlive.contains(settings_.incarnation)) {
        view.reportedSelfAliveAt = now;
    }
    view.backlog.clear();
    for (const wire::ServiceBacklog &backlog : heartbeat.backlog()) {
        view.backlog[backlog.service()] = Millis(backlog.work_ms());
    }
}

void Membership::onHandoverReply(Incarnation peer, const wire::HandoverReply &reply, Instant now)
{
    if (reply.roster_version() < roster_.version() || !handovers_.contains(peer)) {
        return;
    }
    for (const std::string &id : reply.known_ids()) {
        remoteOwners_[id] = peer;
        remoteExpiries_.push_back({now + settings_.retention, id});
    }
    for (const wire::HomeRecords &records : reply.deposited()) {
        departedRecords_[toIncarnation(records.agent())][toIncarnation(records.home())] = records;
    }
    for (const wire::AgentInfo &info : reply.agents()) {
        addReportedAgent(info, now);
    }
    for (const std::uint64_t removed : reply.certain()) {
        const auto takeover = takeovers_.find(toIncarnation(removed));
        if (takeover != takeovers_.end()) {
            takeover->second.setAllAgentsKnown();
        }
    }
    handovers_.erase(peer);
}

void Membership::addReportedAgent(const wire::AgentInfo &info, Instant now)
{
    const Incarnation agent = toIncarnation(info.incarnation());
    const auto [position, isNew] = agents_.try_emplace(agent);
    AgentView &view = position->second;
    if (isNew) {
        view.name = info.name();
        view.service = info.service();
        view.lost = info.lost();
        view.lastMessageAt = now;
    }
    if (!info.deposited() || view.departed) {
        return;
    }
    view.departed = true;
    for (auto &[removed, takeover] : takeovers_) {
        applyDepartedRecords(takeover, removed, agent);
    }
}

void Membership::onWitnessedReply(Incarnation peer, const wire::WitnessedReply &reply)
{
    const auto takeover = takeovers_.find(toIncarnation(reply.incarnation()));
    if (takeover != takeovers_.end()) {
        takeover->second.onWitnessReply(peer, reply);
    }
}

std::vector<Incarnation> Membership::onAgentHello(const wire::AgentHello &hello, Instant now)
{
    const Incarnation agent = toIncarnation(hello.incarnation());
    std::vector<Incarnation> replaced;
    for (auto &[other, view] : agents_) {
        if (view.name != hello.name() || view.service != hello.service() || other == agent || view.lost || view.departed) {
            continue;
        }
        view.lost = true;
        view.connected = false;
        replaced.push_back(other);
    }
    const bool isNew = !agents_.contains(agent);
    if (isNew && handovers_.empty()) {
        // This agent was not known before, so no removed entry whose agents are all known can have granted tasks to it.
        for (auto &[removed, takeover] : takeovers_) {
            if (takeover.areAllAgentsKnown()) {
                takeover.onAgentRecords(agent, wire::HomeRecords().records());
            }
        }
    }
    AgentView &view = agents_[agent];
    view.name = hello.name();
    view.service = hello.service();
    view.zone = hello.zone();
    view.slots = hello.slots();
    view.leaving = hello.leaving();
    view.connected = true;
    view.suspect = false;
    view.lost = false;
    view.lastMessageAt = now;
    view.stamp = 0;
    return replaced;
}

void Membership::onAgentDisconnected(Incarnation agent)
{
    AgentView *view = findAgent(agent);
    if (view != nullptr) {
        view->connected = false;
    }
}

void Membership::onFenceReply(Incarnation agent, const wire::FenceReply &reply)
{
    const auto takeover = takeovers_.find(toIncarnation(reply.incarnation()));
    if (takeover != takeovers_.end()) {
        takeover->second.onAgentRecords(agent, reply.records());
    }
}

void Membership::onGoodbye(Incarnation agent, const wire::Goodbye &goodbye)
{
    AgentView *view = findAgent(agent);
    if (view == nullptr || view->departed) {
        return;
    }
    view->departed = true;
    for (const wire::HomeRecords &records : goodbye.homes()) {
        departedRecords_[agent][toIncarnation(records.home())] = records;
    }
    for (auto &[removed, takeover] : takeovers_) {
        applyDepartedRecords(takeover, removed, agent);
    }
}

std::vector<Incarnation> Membership::pendingFences(Incarnation agent) const
{
    std::vector<Incarnation> due;
    for (const auto &[removed, takeover] : takeovers_) {
        if (!takeover.hasAgentReported(agent)) {
            due.push_back(removed);
        }
    }
    return due;
}

std::vector<Incarnation> Membership::pendingHandovers() const
{
    std::vector<Incarnation> due;
    for (const auto &[member, handover] : handovers_) {
        due.push_back(member);
    }
    return due;
}

std::vector<std::pair<Incarnation, Incarnation>> Membership::pendingWitnessRequests() const
{
    std::vector<std::pair<Incarnation, Incarnation>> due;
    for (const auto &[removed, takeover] : takeovers_) {
        for (const Incarnation member : takeover.pendingWitnesses()) {
            due.emplace_back(member, removed);
        }
    }
    return due;
}

std::vector<Incarnation> Membership::expireAgents(Instant now)
{
    std::vector<Incarnation> lost;
    for (auto &[agent, view] : agents_) {
        const Duration silence = now - view.lastMessageAt;
        view.suspect = silence >= settings_.agentSuspectTimeout;
        if (view.lost || silence < settings_.agentLossTimeout) {
            continue;
        }
        view.lost = true;
        lost.push_back(agent);
    }
    return lost;
}

void Membership::expireRecoveredState(Instant now)
{
    while (!remoteExpiries_.empty() && remoteExpiries_.front().until <= now) {
        remoteOwners_.erase(remoteExpiries_.front().id);
        remoteExpiries_.pop_front();
    }
    absl::erase_if(takeovers_, [&](const auto &item) {
        return now >= item.second.startedAt() + settings_.retention && !isRemoved(roster_, item.first);
    });
    absl::erase_if(agents_, [&](const auto &item) {
        const bool isGone = item.second.lost || item.second.departed;
        return isGone && now >= item.second.lastMessageAt + settings_.retention;
    });
    absl::erase_if(departedRecords_, [&](const auto &item) {
        return !agents_.contains(item.first);
    });
    if (std::ranges::all_of(otherMembers(), [&](Incarnation member) {
            return isAlive(member, now);
        })) {
        lastConfirmedAt_ = now;
    }
}

bool Membership::isAlive(Incarnation peer, Instant now) const
{
    const auto found = peers_.find(peer);
    return found != peers_.end() && now < found->second.lastMessageAt + settings_.peerTimeout;
}

bool Membership::isReportedAlive(Incarnation member, Instant now) const
{
    return std::ranges::any_of(peers_, [&](const auto &item) {
        return item.first != member && isAlive(item.first, now) && item.second.reportedAlive.contains(member);
    });
}

void Membership::onStoreRead(Instant now)
{
    lastConfirmedAt_ = now;
}

bool Membership::isIsolated(Instant now) const
{
    return joined_ && now >= lastConfirmedAt_ + settings_.retention / ISOLATION_DIVISOR;
}

wire::Roster Membership::proposedRoster(Instant now, std::uint64_t unixMs, bool leave, bool finished) const
{
    const std::uint64_t retentionMs = toMillis(settings_.retention);
    const wire::RosterMember *self = findMember(roster_, settings_.incarnation);
    if (self != nullptr && leave && finished) {
        return withoutMember(roster_, settings_.incarnation, unixMs, retentionMs);
    }
    if (self != nullptr && leave && !self->leaving()) {
        return withMemberLeaving(roster_, settings_.incarnation);
    }
    for (const Incarnation member : otherMembers()) {
        const PeerView &view = peers_.find(member)->second;
        const Instant lastMessageAt = std::max(view.lastMessageAt, view.knownSince);
        const Duration timeout = self != nullptr ? settings_.peerTimeout : settings_.coldStartTimeout;
        const bool sameName = findMember(roster_, member)->name() == settings_.name;
        if (sameName || isAlive(member, now) || isReportedAlive(member, now)) {
            continue;
        }
        if (now >= lastMessageAt + timeout && (self != nullptr || !leave)) {
            return withoutMember(roster_, member, unixMs, retentionMs);
        }
        if (self == nullptr) {
            return {};
        }
    }
    if (self != nullptr || leave || joined_) {
        return {};
    }
    const bool allAlive = std::ranges::all_of(otherMembers(), [&](Incarnation member) {
        return isAlive(member, now) || findMember(roster_, member)->name() == settings_.name;
    });
    if (!allAlive) {
        return {};
    }
    wire::RosterMember member;
    member.set_name(settings_.name);
    member.set_incarnation(toWire(settings_.incarnation));
    member.set_address(settings_.address);
    member.set_zone(settings_.zone);
    return withMember(roster_, member, unixMs, retentionMs);
}

Incarnation Membership::chooseWitness(Instant now) const
{
    for (const Incarnation member : otherMembers()) {
        const auto peer = peers_.find(member);
        if (peer != peers_.end() && peer->second.connected && isAlive(member, now)) {
            return member;
        }
    }
    return INVALID_INCARNATION;
}

Incarnation Membership::nextHop(Incarnation home, Instant now) const
{
    const auto direct = peers_.find(home);
    if (direct != peers_.end() && direct->second.connected && isAlive(home, now)) {
        return home;
    }
    for (const auto &[peer, view] : peers_) {
        if (peer != home && view.connected && isAlive(peer, now) && view.reportedAlive.contains(home)) {
            return peer;
        }
    }
    return INVALID_INCARNATION;
}

std::vector<Incarnation> Membership::liveMembers(Instant now) const
{
    std::vector<Incarnation> heard;
    for (const Incarnation member : otherMembers()) {
        if (isAlive(member, now)) {
            heard.push_back(member);
        }
    }
    return heard;
}

std::uint32_t Membership::slots(std::string_view service) const
{
    std::uint32_t slots = 0;
    for (const auto &[agent, view] : agents_) {
        if (view.service == service && view.connected && !view.suspect && !view.leaving) {
            slots += view.slots;
        }
    }
    return slots;
}

Duration Membership::totalPeerBacklog(std::string_view service) const
{
    Duration work{0};
    for (const auto &[peer, view] : peers_) {
        const auto backlog = view.backlog.find(service);
        if (view.connected && backlog != view.backlog.end()) {
            work += backlog->second;
        }
    }
    return work;
}

AgentView *Membership::findAgent(Incarnation agent)
{
    const auto found = agents_.find(agent);
    return found == agents_.end() ? nullptr : &found->second;
}

std::vector<Incarnation> Membership::connectedPeers() const
{
    std::vector<Incarnation> connected;
    for (const auto &[peer, view] : peers_) {
        if (view.connected) {
            connected.push_back(peer);
        }
    }
    return connected;
}

void Membership::fillHandoverReply(wire::HandoverReply &reply) const
{
    reply.set_roster_version(roster_.version());
    for (const auto &[agent, view] : agents_) {
        wire::AgentInfo *info = reply.add_agents();
        info->set_name(view.name);
        info->set_incarnation(toWire(agent));
        info->set_service(view.service);
        info->set_lost(view.lost);
        info->set_deposited(view.departed);
    }
    for (const auto &[agent, homes] : departedRecords_) {
        for (const auto &[home, records] : homes) {
            wire::HomeRecords *copy = reply.add_deposited();
            *copy = records;
            copy->set_agent(toWire(agent));
        }
    }
    for (const auto &[removed, takeover] : takeovers_) {
        if (takeover.areAllAgentsKnown()) {
            reply.add_certain(toWire(removed));
        }
    }
}

bool Membership::isLinkOneWay(Incarnation peer, Instant now) const
{
    const auto found = peers_.find(peer);
    if (found == peers_.end() || !isAlive(peer, now)) {
        return false;
    }
    const PeerView &view = found->second;
    const Instant lastProofAt = std::max(view.connectedSince, view.reportedSelfAliveAt);
    return now >= lastProofAt + 2 * settings_.peerTimeout;
}

bool Membership::allLiveMembersHaveConfig(ConfigVersion version, Instant now) const
{
    return std::ranges::all_of(liveMembers(now), [&](Incarnation member) {
        return peers_.find(member)->second.configVersion >= version;
    });
}

Duration Membership::peerBacklog(Incarnation peer, std::string_view service) const
{
    const auto found = peers_.find(peer);
    if (found == peers_.end()) {
        return Duration{0};
    }
    const auto backlog = found->second.backlog.find(service);
    return backlog == found->second.backlog.end() ? Duration{0} : backlog->second;
}

}
