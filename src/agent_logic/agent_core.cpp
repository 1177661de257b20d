/** @file agent_core.cpp Decisions of the agent. */

#include "agent_logic/agent_core.h"

#include <algorithm>

namespace medlarmill
{

namespace
{

constexpr Duration CONFIG_PATIENCE = Millis(2'000); ///< A configuration waits so long for an entry that does not have it in force yet.
constexpr std::uint32_t WAITING_IMBALANCE = 4; ///< A slot changes its entry when another has so many times more tasks waiting per slot.

TaskKey keyOf(const std::string &submission, std::uint32_t index)
{
    return {submission, TaskIndex{index}};
}

}

AgentCore::AgentCore(AgentSettings settings, AgentOutput &output)
    : settings_(std::move(settings))
    , output_(output)
    , records_(settings_.maxRecords, settings_.maxRecordBytes, settings_.retention)
    , slots_(settings_.slots)
{ }

wire::Message AgentCore::hello() const
{
    wire::Message message;
    wire::AgentHello *hello = message.mutable_agent_hello();
    hello->set_name(settings_.name);
    hello->set_incarnation(toWire(settings_.incarnation));
    hello->set_service(settings_.service);
    hello->set_slots(slots_);
    hello->set_zone(settings_.zone);
    hello->set_leaving(leaving_);
    return message;
}

void AgentCore::onEntryConnected(Incarnation entry, Instant now)
{
    EntryLink link;
    link.nextHeartbeat = now;
    link.lastHeard = now;
    entries_[entry] = link;
}

void AgentCore::onEntryDisconnected(Incarnation entry)
{
    entries_.erase(entry);
    offerSlots();
}

void AgentCore::onEntryMessage(Incarnation entry, const wire::Message &message, Instant now)
{
    const auto sender = entries_.find(entry);
    if (sender == entries_.end()) {
        return;
    }
    sender->second.lastHeard = now;
    switch (message.body_case()) {
    case wire::Message::kAdmit:
        onAdmit(entry, message.admit(), now);
        break;
    case wire::Message::kGrant:
        onGrant(entry, message.grant(), now);
        break;
    case wire::Message::kCreditReturn:
        onCreditReturn(entry, message.credit_return());
        break;
    case wire::Message::kTaskQuery:
        onQuery(entry, message.task_query());
        break;
    case wire::Message::kTaskCancel:
        onCancel(message.task_cancel());
        break;
    case wire::Message::kFenceRequest:
        onFence(entry, message.fence_request());
        break;
    case wire::Message::kHeartbeatAck:
        onHeartbeatAck(entry, message.heartbeat_ack());
        break;
    case wire::Message::kServiceUpdate:
        onServiceUpdate(entry, message.service_update(), now);
        break;
    case wire::Message::kRosterUpdate:
        adoptRoster(message.roster_update().roster());
        break;
    case wire::Message::kGoodbyeAck:
        entries_[entry].goodbyeAcked = true;
        break;
    default:
        counters_.add("agent_unexpected_messages");
        break;
    }
}

void AgentCore::onAdmit(Incarnation entry, const wire::Admit &admit, Instant now)
{
    adoptRoster(admit.roster());
    onServiceUpdate(entry, admit.service(), now);
    admittedBy_.insert(entry);
    entries_[entry].admitted = true;
    updateActive();
    offerSlots();
}

void AgentCore::adoptRoster(const wire::Roster &roster)
{
    if (roster.version() <= roster_.version()) {
        return;
    }
    roster_ = roster;
    for (const wire::RemovedMember &member : roster.removed()) {
        fenced_.insert(toIncarnation(member.incarnation()));
    }
    output_.rosterChanged(roster_);
    updateActive();
}

void AgentCore::updateActive()
{
    if (active_ || roster_.version() == 0) {
        return;
    }
    active_ = std::ranges::all_of(roster_.members(), [this](const wire::RosterMember &member) {
        const Incarnation incarnation = toIncarnation(member.incarnation());
        return admittedBy_.contains(incarnation) || fenced_.contains(incarnation);
    });
    if (active_) {
        offerSlots();
    }
}

Reason AgentCore::refusalOf(Incarnation entry, const wire::Grant &grant, Instant now) const
{
    if (fenced_.contains(entry)) {
        return Reason::Fenced;
    }
    const auto age = static_cast<std::uint64_t>(now.time_since_epoch().count()) - grant.stamp();
    if (age > static_cast<std::uint64_t>(settings_.lease.count())) {
        return Reason::StaleLease;
    }
    if (!active_) {
        return Reason::NotAdmitted;
    }
    if (leaving_) {
        return Reason::Leaving;
    }
    if (running_.size() >= slots_) {
        return Reason::Busy;
    }
    return records_.hasRoom() ? Reason::None : Reason::RecordsFull;
}

void AgentCore::onGrant(Incarnation entry, const wire::Grant &grant, Instant now)
{
    EntryLink &link = entries_[entry];
    link.waiting = grant.waiting();
    std::uint32_t &offered = grant.short_credit() ? link.shortOffered : link.generalOffered;
    offered -= std::min<std::uint32_t>(offered, 1);

    const TaskKey key = keyOf(grant.submission_id(), grant.index());
    StartRecord *known = records_.find(key);
    const Reason refusal = refusalOf(entry, grant, now);
    if (known != nullptr && refusal != Reason::Fenced) {
        counters_.add("agent_refused_grants", Reason::DuplicateStart);
        known->reporter = entry;
        report(entry, key, *known, false, false);
        offerSlots();
        return;
    }
    if (refusal != Reason::None) {
        refuse(entry, key, refusal);
        offerSlots();
        return;
    }
    startGranted(entry, grant, now);
}

void AgentCore::startGranted(Incarnation entry, const wire::Grant &grant, Instant now)
{
    const TaskKey key = keyOf(grant.submission_id(), grant.index());
    StartRecord record;
    record.home = entry;
    record.reporter = entry;
    record.taskCount = grant.task_count();
    record.digest = grant.digest();
    record.startedAt = now;
    record.isLong = grant.long_task();
    record.longAfter = grant.long_after_ms() == 0 ? NEVER : now + Millis(grant.long_after_ms());
    records_.insert(key, std::move(record));
    running_.insert(key);
    counters_.add("agent_starts");
    output_.startTask(key, grant.kind(), grant.payload(), Millis(grant.time_left_ms()));
}

void AgentCore::refuse(Incarnation entry, const TaskKey &key, Reason reason)
{
    counters_.add("agent_refused_grants", reason);
    wire::Message message;
    wire::TaskReport *report = message.mutable_task_report();
    report->set_submission_id(key.submission);
    report->set_index(static_cast<std::uint32_t>(key.index));
    report->set_state(wire::TASK_NOT_RUN);
    report->set_reason(static_cast<std::uint32_t>(reason));
    output_.sendToEntry(entry, std::move(message));
}

void AgentCore::report(Incarnation entry, const TaskKey &key, const StartRecord &record, bool credit, bool shortOnly)
{
    wire::Message message;
    wire::TaskReport *report = message.mutable_task_report();
    report->set_submission_id(key.submission);
    report->set_index(static_cast<std::uint32_t>(key.index));
    report->set_state(record.state);
    report->set_payload(record.payload);
    report->set_reason(static_cast<std::uint32_t>(record.reason));
    report->set_run_ms(record.runMs);
    report->set_task_count(record.taskCount);
    report->set_digest(record.digest);
    report->set_credit(credit);
    report->set_credit_short_only(shortOnly);
    output_.sendToEntry(entry, std::move(message));
}

void AgentCore::onTaskFinished(const TaskKey &key, TaskOutcome outcome, Instant now)
{
    if (running_.erase(key) == 0) {
        return;
    }
    if (outcome.state == wire::TASK_NOT_RUN) {
        const Incarnation reporter = records_.find(key)->reporter;
        records_.erase(key);
        refuse(reporter, key, outcome.reason);
        offerSlots();
        return;
    }
    const StartRecord *record = records_.finish(key, std::move(outcome), now);
    counters_.add(record->state == wire::TASK_COMPLETE ? "agent_tasks_complete" : "agent_tasks_not_complete");
    const Incarnation entry = record->reporter;
    const auto link = entries_.find(entry);
    const bool canOffer = link != entries_.end() && active_ && !leaving_ && freeSlots() > 0 && chooseEntry(entry) == entry;
    const bool shortOnly = canOffer && nextOfferIsShortOnly();
    if (canOffer) {
        addOffer(link->second, shortOnly);
    }
    report(entry, key, *record, canOffer, shortOnly);
    offerSlots();
}

void AgentCore::onCreditReturn(Incarnation entry, const wire::CreditReturn &message)
{
    EntryLink &link = entries_[entry];
    const std::uint32_t general = std::min(link.generalOffered, message.general());
    const std::uint32_t shortOnly = std::min(link.shortOffered, message.short_only());
    link.generalOffered -= general;
    link.shortOffered -= shortOnly;
    const auto target = entries_.find(toIncarnation(message.give_to()));
    if (target == entries_.end() || !target->second.admitted || leaving_ || general + shortOnly == 0) {
        offerSlots();
        return;
    }
    target->second.generalOffered += general;
    target->second.shortOffered += shortOnly;
    wire::Message offer;
    offer.mutable_credit_offer()->set_general(general);
    offer.mutable_credit_offer()->set_short_only(shortOnly);
    output_.sendToEntry(target->first, std::move(offer));
}

void AgentCore::onQuery(Incarnation entry, const wire::TaskQuery &query)
{
    for (const wire::TaskRef &task : query.tasks()) {
        const TaskKey key = keyOf(task.submission_id(), task.index());
        StartRecord *record = records_.find(key);
        if (record == nullptr) {
            refuse(entry, key, Reason::NeverSeen);
            continue;
        }
        record->reporter = entry;
        report(entry, key, *record, false, false);
    }
}

void AgentCore::onCancel(const wire::TaskCancel &cancel)
{
    for (const wire::TaskRef &task : cancel.tasks()) {
        const TaskKey key = keyOf(task.submission_id(), task.index());
        if (!running_.contains(key)) {
            continue;
        }
        counters_.add("agent_cancels");
        output_.stopTask(key);
    }
}

void AgentCore::onFence(Incarnation entry, const wire::FenceRequest &request)
{
    const Incarnation target = toIncarnation(request.incarnation());
    fenced_.insert(target);
    adoptRoster(request.roster());
    updateActive();
    wire::Message message;
    wire::FenceReply *reply = message.mutable_fence_reply();
    reply->set_incarnation(request.incarnation());
    for (wire::TaskReport &record : records_.recordsOf(target)) {
        *reply->add_records() = std::move(record);
    }
    output_.sendToEntry(entry, std::move(message));
    const auto link = entries_.find(target);
    if (link != entries_.end()) {
        link->second.generalOffered = 0;
        link->second.shortOffered = 0;
    }
    offerSlots();
}

void AgentCore::onHeartbeatAck(Incarnation entry, const wire::HeartbeatAck &ack)
{
    entries_[entry].waiting = ack.waiting();
    entries_[entry].configVersion = std::max(entries_[entry].configVersion, ConfigVersion{ack.config_version()});
    offerSlots();
}

void AgentCore::onServiceUpdate(Incarnation entry, const wire::ServiceUpdate &update, Instant now)
{
    EntryLink &link = entries_[entry];
    link.configVersion = std::max(link.configVersion, ConfigVersion{update.version()});
    if (update.version() > learnedService_.version()) {
        learnedService_ = update;
        learnedAt_ = now;
    }
    activateService(now);
}

void AgentCore::activateService(Instant now)
{
    if (!active_ || learnedService_.version() <= service_.version()) {
        return;
    }
    const bool everywhere = std::ranges::all_of(entries_, [this](const auto &item) {
        return !item.second.admitted || item.second.configVersion >= ConfigVersion{learnedService_.version()};
    });
    if (everywhere || now >= learnedAt_ + CONFIG_PATIENCE) {
        service_ = learnedService_;
    }
}

void AgentCore::onEndpointChanged(std::uint32_t slots)
{
    slots_ = slots;
    offerSlots();
}

void AgentCore::startLeaving()
{
    leaving_ = true;
    for (auto &[entry, link] : entries_) {
        link.nextHeartbeat = Instant();
    }
}

bool AgentCore::isStopped() const
{
    return leaving_ && running_.empty() && std::ranges::all_of(entries_, [](const auto &item) {
               return item.second.goodbyeAcked;
           });
}

void AgentCore::tick(Instant now)
{
    activateService(now);
    records_.expire(now);
    for (const TaskKey &key : running_) {
        StartRecord *record = records_.find(key);
        if (record == nullptr || record->isLong || now < record->longAfter) {
            continue;
        }
        record->isLong = true;
        counters_.add("agent_tasks_outgrown");
    }
    for (auto &[entry, link] : entries_) {
        if (now >= link.lastHeard + settings_.entrySilence) {
            link.lastHeard = now;
            counters_.add("agent_entry_resets");
            output_.resetEntry(entry);
            continue;
        }
        if (now < link.nextHeartbeat) {
            continue;
        }
        link.nextHeartbeat = now + settings_.heartbeatInterval;
        wire::Message message;
        wire::Heartbeat *heartbeat = message.mutable_heartbeat();
        heartbeat->set_stamp(static_cast<std::uint64_t>(now.time_since_epoch().count()));
        heartbeat->set_config_version(service_.version());
        heartbeat->set_leaving(leaving_);
        heartbeat->set_slots(slots_);
        heartbeat->set_running(static_cast<std::uint32_t>(running_.size()));
        output_.sendToEntry(entry, std::move(message));
    }
    offerSlots();
    sendGoodbyes();
}

void AgentCore::sendGoodbyes()
{
    if (!leaving_ || !running_.empty()) {
        return;
    }
    wire::Message message;
    for (auto &[entry, link] : entries_) {
        if (link.goodbyeSent) {
            continue;
        }
        link.goodbyeSent = true;
        if (!message.has_goodbye()) {
            message.mutable_goodbye();
            for (const Incarnation home : records_.homes()) {
                wire::HomeRecords *records = message.mutable_goodbye()->add_homes();
                records->set_home(toWire(home));
                for (wire::TaskReport &report : records_.recordsOf(home)) {
                    report.set_payload(records_.find(keyOf(report.submission_id(), report.index()))->payload);
                    *records->add_records() = std::move(report);
                }
            }
        }
        output_.sendToEntry(entry, message);
    }
}

std::uint32_t AgentCore::freeSlots() const
{
    std::uint64_t used = running_.size();
    for (const auto &[entry, link] : entries_) {
        used += link.generalOffered + link.shortOffered;
    }
    return used >= slots_ ? 0 : static_cast<std::uint32_t>(slots_ - used);
}

bool AgentCore::nextOfferIsShortOnly() const
{
    std::uint64_t longPotential = 0;
    for (const auto &[entry, link] : entries_) {
        longPotential += link.generalOffered;
    }
    for (const TaskKey &key : running_) {
        const StartRecord *record = records_.find(key);
        longPotential += record != nullptr && record->isLong ? 1 : 0;
    }
    return longPotential + settings_.shortReserve >= slots_;
}

void AgentCore::addOffer(EntryLink &link, bool shortOnly)
{
    if (shortOnly) {
        ++link.shortOffered;
    } else {
        ++link.generalOffered;
    }
}

Incarnation AgentCore::chooseEntry(Incarnation preferred) const
{
    const auto need = [](const EntryLink &link) {
        return static_cast<std::uint64_t>(link.waiting) / (1U + link.generalOffered + link.shortOffered);
    };
    Incarnation best = INVALID_INCARNATION;
    const EntryLink *bestLink = nullptr;
    for (const auto &[entry, link] : entries_) {
        if (!link.admitted || fenced_.contains(entry)) {
            continue;
        }
        const bool needier = bestLink != nullptr && need(link) > need(*bestLink);
        const bool sameNeed = bestLink != nullptr && need(link) == need(*bestLink);
        const bool fewer
            = bestLink != nullptr && link.generalOffered + link.shortOffered < bestLink->generalOffered + bestLink->shortOffered;
        if (bestLink == nullptr || needier || (sameNeed && fewer)) {
            best = entry;
            bestLink = &link;
        }
    }
    const auto wanted = entries_.find(preferred);
    if (bestLink == nullptr || wanted == entries_.end() || !wanted->second.admitted || fenced_.contains(preferred)) {
        return best;
    }
    return need(*bestLink) > WAITING_IMBALANCE * need(wanted->second) ? best : preferred;
}

void AgentCore::offerSlots()
{
    if (!active_ || leaving_) {
        return;
    }
    absl::btree_map<Incarnation, wire::CreditOffer> offers;
    for (std::uint32_t free = freeSlots(); free > 0; --free) {
        const Incarnation entry = chooseEntry(INVALID_INCARNATION);
        if (entry == INVALID_INCARNATION) {
            break;
        }
        const bool shortOnly = nextOfferIsShortOnly();
        addOffer(entries_[entry], shortOnly);
        wire::CreditOffer &offer = offers[entry];
        if (shortOnly) {
            offer.set_short_only(offer.short_only() + 1);
        } else {
            offer.set_general(offer.general() + 1);
        }
    }
    for (const auto &[entry, offer] : offers) {
        wire::Message message;
        *message.mutable_credit_offer() = offer;
        output_.sendToEntry(entry, std::move(message));
    }
}

}
