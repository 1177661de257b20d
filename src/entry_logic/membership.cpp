/** @file membership.cpp Roster, custody, hand-overs and takeovers of an entry. */

#include "entry_logic/membership.h"

#include "core/hash_func.h"
#include "entry_logic/roster_func.h"

#include <algorithm>

namespace medlarmill
{

namespace
{

constexpr Duration REWITNESS_TIME = Millis(5'000); ///< Time in which entries record their answers anew after a witness was removed.
constexpr int ISOLATION_DIVISOR = 2; ///< An entry that reaches nobody stops deciding after this part of the retention window.

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
    const wire::Roster before = roster_;
    roster_ = roster;
    for (const Incarnation member : otherMembers()) {
        PeerView &view = peers_[member];
        view.knownSince = view.knownSince == Instant() ? now : view.knownSince;
    }
    if (!joined_ && isMember()) {
        joined_ = true;
        lastConfirmed_ = now;
        for (const Incarnation member : otherMembers()) {
            handovers_[member] = {true};
        }
    } else if (joined_) {
        beginHandovers(before);
    }
    if (joined_) {
        beginTakeovers(before, now);
    }
    return true;
}

void Membership::beginHandovers(const wire::Roster &before)
{
    for (const wire::RosterMember &member : roster_.members()) {
        const Incarnation incarnation = toIncarnation(member.incarnation());
        const wire::RosterMember *earlier = findMember(before, incarnation);
        const bool startsLeaving = member.leaving() && earlier != nullptr && !earlier->leaving();
        if (startsLeaving && incarnation != settings_.incarnation) {
            handovers_.try_emplace(incarnation, Handover{false});
        }
    }
}

void Membership::beginTakeovers(const wire::Roster &before, Instant now)
{
    const bool wasMember = findMember(before, settings_.incarnation) != nullptr;
    for (const wire::RemovedMember &removed : roster_.removed()) {
        const Incarnation incarnation = toIncarnation(removed.incarnation());
        if (takeovers_.contains(incarnation)) {
            continue;
        }
        const auto handover = handovers_.find(incarnation);
        const bool owesAll = handover != handovers_.end() && handover->second.coversAll;
        const bool wasPeer = wasMember && findMember(before, incarnation) != nullptr && !owesAll;
        startTakeover(incarnation, !wasPeer, wasPeer, now);
    }
    for (const auto &[lost, unused] : takeovers_) {
        handovers_.erase(lost);
        for (auto &[removed, takeover] : takeovers_) {
            takeover.onWitnessLost(lost);
        }
    }
}

void Membership::startTakeover(Incarnation removed, bool coversAll, bool certain, Instant now)
{
    Takeover takeover(coversAll, certain, now);
    for (const Incarnation member : otherMembers()) {
        takeover.expectWitness(member);
    }
    for (const auto &[agent, view] : agents_) {
        if (view.departed) {
            accountDeposits(takeover, removed, agent);
        }
    }
    for (const auto &[other, earlier] : takeovers_) {
        if (now < earlier.startedAt() + REWITNESS_TIME) {
            takeover.setWitnessLost();
        }
    }
    takeovers_.emplace(removed, std::move(takeover));
}

void Membership::accountDeposits(Takeover &takeover, Incarnation removed, Incarnation agent)
{
    const auto deposit = deposits_.find(agent);
    if (deposit != deposits_.end() && deposit->second.contains(removed)) {
        takeover.onRecords(agent, deposit->second[removed].records());
        return;
    }
    takeover.onRecords(agent, wire::HomeRecords().records());
}

bool Membership::concerns(const SubmissionId &id, Incarnation other, bool coversAll) const
{
    const Incarnation minted = mintedHome(id);
    if (minted != INVALID_INCARNATION) {
        return minted == other;
    }
    if (coversAll) {
        return true;
    }
    const auto owner = foreignOwners_.find(id);
    if (owner != foreignOwners_.end() && owner->second == other) {
        return true;
    }
    return homeScore(id, other) > homeScore(id, settings_.incarnation);
}

bool Membership::isComplete(const Takeover &takeover, std::string_view service) const
{
    if (!takeover.hasAllWitnesses() || !takeover.isCertain()) {
        return false;
    }
    return std::ranges::all_of(agents_, [&](const auto &item) {
        const bool isOther = !service.empty() && item.second.service != service;
        return isOther || takeover.isAccounted(item.first);
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
    const auto owner = foreignOwners_.find(id);
    if (owner != foreignOwners_.end() && findMember(roster_, owner->second) != nullptr) {
        return {OwnershipKind::Remote, owner->second};
    }
    const Incarnation home = minted == settings_.incarnation ? minted : rendezvousHome(roster_, id);
    if (home == INVALID_INCARNATION || wasRemoved()) {
        return {};
    }
    if (home != settings_.incarnation) {
        return {OwnershipKind::Remote, home};
    }
    return custodyAtSelf(id, service, now);
}

Ownership Membership::custodyAtSelf(const SubmissionId &id, std::string_view service, Instant now) const
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
        if (concerns(id, member, handover.coversAll)) {
            kind = OwnershipKind::Pending;
        }
    }
    for (const auto &[removed, takeover] : takeovers_) {
        if (!concerns(id, removed, takeover.coversAll()) || isComplete(takeover, service)) {
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
    view.hears.clear();
    for (const std::uint64_t heard : heartbeat.hears()) {
        view.hears.insert(toIncarnation(heard));
    }
    if (view.hears.contains(settings_.incarnation)) {
        view.hearsSelfUntil = now;
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
        foreignOwners_[id] = peer;
        foreignExpiry_.push_back({now + settings_.retention, id});
    }
    for (const wire::HomeRecords &records : reply.deposited()) {
        deposits_[toIncarnation(records.agent())][toIncarnation(records.home())] = records;
    }
    for (const wire::AgentInfo &info : reply.agents()) {
        noteAgent(info, now);
    }
    for (const std::uint64_t certain : reply.certain()) {
        const auto takeover = takeovers_.find(toIncarnation(certain));
        if (takeover != takeovers_.end()) {
            takeover->second.setCertain();
        }
    }
    handovers_.erase(peer);
}

void Membership::noteAgent(const wire::AgentInfo &info, Instant now)
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
        accountDeposits(takeover, removed, agent);
    }
}

void Membership::onWitnessedReply(Incarnation peer, const wire::WitnessedReply &reply)
{
    const auto takeover = takeovers_.find(toIncarnation(reply.incarnation()));
    if (takeover != takeovers_.end()) {
        takeover->second.onWitnessed(peer, reply);
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
        // Not admitted here before: it cannot have been active while a removed entry could still grant to it.
        for (auto &[removed, takeover] : takeovers_) {
            if (takeover.isCertain()) {
                takeover.onRecords(agent, wire::HomeRecords().records());
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
        takeover->second.onRecords(agent, reply.records());
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
        deposits_[agent][toIncarnation(records.home())] = records;
    }
    for (auto &[removed, takeover] : takeovers_) {
        accountDeposits(takeover, removed, agent);
    }
}

std::vector<Incarnation> Membership::pendingFences(Incarnation agent) const
{
    std::vector<Incarnation> due;
    for (const auto &[removed, takeover] : takeovers_) {
        if (!takeover.isAccounted(agent)) {
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
        for (const Incarnation member : takeover.missingWitnesses()) {
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
    while (!foreignExpiry_.empty() && foreignExpiry_.front().until <= now) {
        foreignOwners_.erase(foreignExpiry_.front().id);
        foreignExpiry_.pop_front();
    }
    absl::erase_if(takeovers_, [&](const auto &item) {
        return now >= item.second.startedAt() + settings_.retention && !isRemoved(roster_, item.first);
    });
    absl::erase_if(agents_, [&](const auto &item) {
        const bool isGone = item.second.lost || item.second.departed;
        return isGone && now >= item.second.lastMessageAt + settings_.retention;
    });
    absl::erase_if(deposits_, [&](const auto &item) {
        return !agents_.contains(item.first);
    });
    if (std::ranges::all_of(otherMembers(), [&](Incarnation member) {
            return isHeard(member, now);
        })) {
        lastConfirmed_ = now;
    }
}

bool Membership::isHeard(Incarnation peer, Instant now) const
{
    const auto found = peers_.find(peer);
    return found != peers_.end() && now < found->second.lastMessageAt + settings_.peerTimeout;
}

bool Membership::isHeardByAnyone(Incarnation member, Instant now) const
{
    return std::ranges::any_of(peers_, [&](const auto &item) {
        return item.first != member && isHeard(item.first, now) && item.second.hears.contains(member);
    });
}

void Membership::onStoreRead(Instant now)
{
    lastConfirmed_ = now;
}

bool Membership::isIsolated(Instant now) const
{
    return joined_ && now >= lastConfirmed_ + settings_.retention / ISOLATION_DIVISOR;
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
        const Duration patience = self != nullptr ? settings_.peerTimeout : settings_.coldStartTimeout;
        const bool sameName = findMember(roster_, member)->name() == settings_.name;
        if (sameName || isHeard(member, now) || isHeardByAnyone(member, now)) {
            continue;
        }
        if (now >= lastMessageAt + patience && (self != nullptr || !leave)) {
            return withoutMember(roster_, member, unixMs, retentionMs);
        }
        if (self == nullptr) {
            return {};
        }
    }
    if (self != nullptr || leave || joined_) {
        return {};
    }
    const bool hearsAll = std::ranges::all_of(otherMembers(), [&](Incarnation member) {
        return isHeard(member, now) || findMember(roster_, member)->name() == settings_.name;
    });
    if (!hearsAll) {
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
        if (peer != peers_.end() && peer->second.connected && isHeard(member, now)) {
            return member;
        }
    }
    return INVALID_INCARNATION;
}

Incarnation Membership::nextHop(Incarnation home, Instant now) const
{
    const auto direct = peers_.find(home);
    if (direct != peers_.end() && direct->second.connected && isHeard(home, now)) {
        return home;
    }
    for (const auto &[peer, view] : peers_) {
        if (peer != home && view.connected && isHeard(peer, now) && view.hears.contains(home)) {
            return peer;
        }
    }
    return INVALID_INCARNATION;
}

std::vector<Incarnation> Membership::liveMembers(Instant now) const
{
    std::vector<Incarnation> heard;
    for (const Incarnation member : otherMembers()) {
        if (isHeard(member, now)) {
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
    for (const auto &[agent, homes] : deposits_) {
        for (const auto &[home, records] : homes) {
            wire::HomeRecords *copy = reply.add_deposited();
            *copy = records;
            copy->set_agent(toWire(agent));
        }
    }
    for (const auto &[removed, takeover] : takeovers_) {
        if (takeover.isCertain()) {
            reply.add_certain(toWire(removed));
        }
    }
}

bool Membership::isLinkOneWay(Incarnation peer, Instant now) const
{
    const auto found = peers_.find(peer);
    if (found == peers_.end() || !isHeard(peer, now)) {
        return false;
    }
    const PeerView &view = found->second;
    const Instant lastProof = std::max(view.connectedSince, view.hearsSelfUntil);
    return now >= lastProof + 2 * settings_.peerTimeout;
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
