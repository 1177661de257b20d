/** @file entry_relay.cpp Requests of callers, and their way to the home entry and back. */

#include "entry_logic/entry_core.h"

#include "core/hash_func.h"
#include "entry_logic/job_func.h"
#include "entry_logic/roster_func.h"

namespace medlarmill
{

namespace
{

constexpr std::uint32_t MAX_HOPS = 4; ///< Entries a request may pass.

}

void EntryCore::answer(const Waiter &waiter, const wire::Answer &answer, bool isFetch)
{
    if (waiter.caller != INVALID_CALLER_TOKEN) {
        output_.answerCaller(waiter.caller, answer);
        return;
    }
    wire::Message message;
    *message.mutable_job_answer()->mutable_answer() = answer;
    message.mutable_job_answer()->set_is_fetch(isFetch);
    message.mutable_job_answer()->set_digest(waiter.digest);
    output_.sendToPeer(waiter.peer, std::move(message));
}

void EntryCore::refuseAtDoor(CallerToken caller, const wire::Job &job, Reason reason, std::string detail)
{
    // An id that a caller chose may have been used before, so only a request without an id is known not to have run.
    const bool hasId = !job.submission_id().empty();
    const wire::AnswerKind kind = hasId ? wire::ANSWER_UNKNOWN : wire::ANSWER_REFUSED;
    counters_.add("entry_refused_at_door", reason);
    output_.answerCaller(caller, makeAnswer(job.submission_id(), kind, reason, std::move(detail)));
}

Reason EntryCore::checkAgainstConfig(wire::Job &job) const
{
    const auto service = config_.services.find(job.service());
    if (service == config_.services.end()) {
        return Reason::UnknownService;
    }
    const auto kind = service->second.kinds.find(job.kind());
    if (kind == service->second.kinds.end()) {
        return Reason::UnknownKind;
    }
    if (job.deadline_ms() == 0) {
        job.set_deadline_ms(static_cast<std::uint32_t>(kind->second.deadline.count()));
    }
    if (job.team().empty()) {
        job.set_team(service->second.team);
    }
    return Reason::None;
}

void EntryCore::submit(CallerToken caller, wire::Job job, Instant now)
{
    counters_.add("entry_submissions");
    if (config_.version == INVALID_CONFIG_VERSION || membership_.roster().version() == 0 || membership_.wasRemoved()) {
        refuseAtDoor(caller, job, Reason::NotReady, notReadyReason());
        return;
    }
    const Reason wrong = checkAgainstConfig(job);
    if (wrong != Reason::None) {
        counters_.add("entry_requests_invalid", wrong);
        output_.answerCaller(caller, makeAnswer(job.submission_id(), wire::ANSWER_INVALID, wrong));
        return;
    }
    if (draining_ && job.submission_id().empty()) {
        refuseAtDoor(caller, job, Reason::Draining, {});
        return;
    }
    if (job.submission_id().empty()) {
        const Incarnation self = settings_.membership.incarnation;
        const Incarnation home = membership_.isMember() ? self : rendezvousHome(membership_.roster(), std::to_string(output_.random()));
        if (home == INVALID_INCARNATION || (home == self && !jobs_.hasRoom(job.ByteSizeLong()))) {
            refuseAtDoor(caller, job, home == self ? Reason::JobTableFull : Reason::NotReady, {});
            return;
        }
        job.set_submission_id(mintSubmissionId(home, output_.random()));
    }
    route(job, {caller, INVALID_INCARNATION, 0}, 0, now);
}

void EntryCore::route(const wire::Job &job, const Waiter &waiter, std::uint32_t hops, Instant now)
{
    if (Job *known = jobs_.find(job.submission_id())) {
        joinExisting(*known, job, waiter);
        return;
    }
    const Ownership custody = membership_.ownershipOf(job.submission_id(), job.service(), now);
    switch (custody.kind) {
    case OwnershipKind::Remote:
        relay(RelayKind::Submit, job, waiter, hops, now);
        return;
    case OwnershipKind::Expired:
        answer(waiter, makeAnswer(job.submission_id(), wire::ANSWER_UNKNOWN, Reason::Expired), false);
        return;
    case OwnershipKind::None:
        answer(waiter, makeAnswer(job.submission_id(), wire::ANSWER_UNKNOWN, Reason::HomeUnreachable), false);
        return;
    default:
        submitAtHome(job, waiter, custody, now);
        return;
    }
}

void EntryCore::relay(RelayKind kind, const wire::Job &job, const Waiter &waiter, std::uint32_t hops, Instant now)
{
    const RelayKey key{job.submission_id(), kind, kind == RelayKind::Submit ? digestOf(job) : 0};
    if (hops >= MAX_HOPS) {
        answer(waiter, makeAnswer(job.submission_id(), wire::ANSWER_UNKNOWN, Reason::HomeUnreachable), kind != RelayKind::Submit);
        return;
    }
    const bool isNew = relays_.find(key) == nullptr;
    Relay request;
    request.kind = kind;
    request.job = job;
    request.waiters.push_back(waiter);
    request.deadline = now + (kind == RelayKind::Submit ? Duration(Millis(job.deadline_ms())) : Duration{0});
    request.hops = hops;
    Relay *stored = relays_.add(key, std::move(request));
    if (stored == nullptr) {
        counters_.add("entry_answers_unknown", Reason::JobTableFull);
        answer(waiter, makeAnswer(job.submission_id(), wire::ANSWER_UNKNOWN, Reason::JobTableFull), kind != RelayKind::Submit);
        return;
    }
    if (isNew) {
        sendRelay(key, *stored, now);
    }
}

void EntryCore::sendRelay(const RelayKey &key, Relay &relay, Instant now)
{
    relay.retryAt = now + settings_.resendInterval;
    const Ownership custody = membership_.ownershipOf(key.id, relay.job.service(), now);
    if (custody.kind != OwnershipKind::Remote) {
        // The roster changed: this entry may be the home now.
        const Relay request = relays_.take(key);
        for (const Waiter &waiter : request.waiters) {
            if (key.kind == RelayKind::Submit) {
                wire::Job body = request.job;
                body.set_deadline_ms(static_cast<std::uint32_t>(toMillis(request.deadline - now)));
                route(body, waiter, request.hops, now);
            } else {
                read(key.kind, key.id, waiter, request.hops, now);
            }
        }
        return;
    }
    const Incarnation next = membership_.nextHop(custody.home, now);
    relay.sentTo = next;
    if (next == INVALID_INCARNATION) {
        counters_.add("entry_relays_unroutable");
        return;
    }
    wire::Message message;
    switch (key.kind) {
    case RelayKind::Submit: {
        wire::ForwardJob *forward = message.mutable_forward_job();
        *forward->mutable_job() = relay.job;
        forward->mutable_job()->set_deadline_ms(static_cast<std::uint32_t>(toMillis(relay.deadline - now)));
        forward->set_roster_version(membership_.roster().version());
        forward->set_hops(relay.hops + 1);
        break;
    }
    case RelayKind::Fetch:
        message.mutable_fetch_job()->set_submission_id(key.id);
        message.mutable_fetch_job()->set_hops(relay.hops + 1);
        break;
    case RelayKind::Cancel:
        message.mutable_cancel_job()->set_submission_id(key.id);
        message.mutable_cancel_job()->set_hops(relay.hops + 1);
        break;
    }
    counters_.add("entry_relays_sent");
    output_.sendToPeer(next, std::move(message));
}

void EntryCore::tickRelays(Instant now)
{
    for (const RelayKey &key : relays_.due(now)) {
        Relay *relay = relays_.find(key);
        if (relay == nullptr) {
            continue;
        }
        if (now >= relay->deadline + settings_.answerGrace) {
            counters_.add("entry_answers_unknown", Reason::HomeUnreachable);
            answerRelay(relays_.take(key), makeAnswer(key.id, wire::ANSWER_UNKNOWN, Reason::HomeUnreachable));
            continue;
        }
        sendRelay(key, *relay, now);
    }
}

void EntryCore::answerRelay(const Relay &relay, const wire::Answer &result)
{
    for (const Waiter &waiter : relay.waiters) {
        answer(waiter, result, relay.kind != RelayKind::Submit);
    }
}

void EntryCore::onJobAnswer(Incarnation peer, const wire::JobAnswer &message, Instant now)
{
    const wire::Answer &answer = message.answer();
    // The answer of an entry that was removed cannot be trusted: a successor may decide otherwise.
    if (isRemoved(membership_.roster(), peer)) {
        counters_.add("entry_answers_of_removed");
        return;
    }
    const bool isFinal = answer.kind() == wire::ANSWER_FAILED || answer.kind() == wire::ANSWER_REFUSED;
    if (isFinal) {
        relays_.recordAnswer(peer, answer, now);
    }
    if (!message.is_fetch()) {
        answerRelay(relays_.take({answer.submission_id(), RelayKind::Submit, message.digest()}), answer);
        return;
    }
    answerRelay(relays_.take({answer.submission_id(), RelayKind::Fetch, 0}), answer);
    answerRelay(relays_.take({answer.submission_id(), RelayKind::Cancel, 0}), answer);
}

void EntryCore::fetch(CallerToken caller, const SubmissionId &id, Instant now)
{
    read(RelayKind::Fetch, id, {caller, INVALID_INCARNATION, 0}, 0, now);
}

void EntryCore::cancel(CallerToken caller, const SubmissionId &id, Instant now)
{
    counters_.add("entry_cancels");
    read(RelayKind::Cancel, id, {caller, INVALID_INCARNATION, 0}, 0, now);
}

void EntryCore::read(RelayKind kind, const SubmissionId &id, const Waiter &waiter, std::uint32_t hops, Instant now)
{
    if (Job *known = jobs_.find(id)) {
        const wire::Answer before = stateOf(*known);
        if (kind == RelayKind::Cancel) {
            cancelJob(*known, now);
        }
        const Job *after = jobs_.find(id); // A rebuilt job whose outcome stays unknown is forgotten by the cancellation.
        answer(waiter, after == nullptr ? before : stateOf(*after), true);
        return;
    }
    const Ownership custody = membership_.ownershipOf(id, {}, now);
    if (custody.kind == OwnershipKind::Remote) {
        wire::Job job;
        job.set_submission_id(id);
        relay(kind, job, waiter, hops, now);
        return;
    }
    answer(waiter, readAtHome(kind, id, custody, now), true);
}

wire::Answer EntryCore::readAtHome(RelayKind kind, const SubmissionId &id, Ownership custody, Instant now)
{
    const RecoveredState evidence = evidenceOf(id);
    if (evidence.answer != nullptr) {
        return *evidence.answer;
    }
    switch (custody.kind) {
    case OwnershipKind::Pending:
        return makeAnswer(id, wire::ANSWER_PENDING, Reason::TakeoverIncomplete);
    case OwnershipKind::Local:
        if (kind == RelayKind::Fetch) {
            const Job *rebuilt = rebuildFromRecords(id, now);
            if (rebuilt != nullptr) {
                return stateOf(*rebuilt);
            }
        }
        return evidence.starts.empty() ? makeAnswer(id, wire::ANSWER_INVALID, Reason::NotFound)
                                       : makeAnswer(id, wire::ANSWER_UNKNOWN, Reason::TakeoverIncomplete);
    case OwnershipKind::Expired:
        return makeAnswer(id, wire::ANSWER_UNKNOWN, Reason::Expired);
    case OwnershipKind::None:
        return makeAnswer(id, wire::ANSWER_UNKNOWN, Reason::HomeUnreachable);
    default:
        return makeAnswer(id, wire::ANSWER_UNKNOWN, Reason::TakeoverIncomplete);
    }
}

}
