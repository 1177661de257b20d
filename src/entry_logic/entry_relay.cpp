/** @file entry_relay.cpp Requests from callers: validation, routing to the home entry, and answers. */

#include "entry_logic/entry_core.h"

#include "core/hash_func.h"
#include "entry_logic/job_func.h"
#include "entry_logic/roster_func.h"

namespace medlarmill
{

namespace
{

constexpr std::uint32_t MAX_HOPS = 4; ///< Maximum number of entries that may relay a request.

}

void EntryCore::sendAnswer(const Waiter &waiter, const wire::Answer &answer, bool isFetch)
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

void EntryCore::refuseBeforeRouting(CallerToken caller, const wire::Job &job, Reason reason, std::string detail)
{
    // A request with an id may be a resubmission of a job that has already run. Only a request without an id is known not to have run.
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
        refuseBeforeRouting(caller, job, Reason::NotReady, notReadyReason());
        return;
    }
    const Reason configError = checkAgainstConfig(job);
    if (configError != Reason::None) {
        counters_.add("entry_requests_invalid", configError);
        output_.answerCaller(caller, makeAnswer(job.submission_id(), wire::ANSWER_INVALID, configError));
        return;
    }
    if (draining_ && job.submission_id().empty()) {
        refuseBeforeRouting(caller, job, Reason::Draining, {});
        return;
    }
    if (job.submission_id().empty()) {
        const Incarnation self = settings_.membership.incarnation;
        const Incarnation home = membership_.isMember() ? self : rendezvousHome(membership_.roster(), std::to_string(output_.random()));
        if (home == INVALID_INCARNATION || (home == self && !jobs_.hasRoom(job.ByteSizeLong()))) {
            refuseBeforeRouting(caller, job, home == self ? Reason::JobTableFull : Reason::NotReady, {});
            return;
        }
        job.set_submission_id(mintSubmissionId(home, output_.random()));
    }
    routeSubmission(job, {caller, INVALID_INCARNATION, 0}, 0, now);
}

void EntryCore::routeSubmission(const wire::Job &job, const Waiter &waiter, std::uint32_t hops, Instant now)
{
    if (Job *known = jobs_.find(job.submission_id())) {
        joinExistingJob(*known, job, waiter);
        return;
    }
    const Ownership ownership = membership_.ownershipOf(job.submission_id(), job.service(), now);
    switch (ownership.kind) {
    case OwnershipKind::Remote:
        relayRequest(RequestKind::Submit, job, waiter, hops, now);
        return;
    case OwnershipKind::Expired:
        sendAnswer(waiter, makeAnswer(job.submission_id(), wire::ANSWER_UNKNOWN, Reason::Expired), false);
        return;
    case OwnershipKind::None:
        sendAnswer(waiter, makeAnswer(job.submission_id(), wire::ANSWER_UNKNOWN, Reason::HomeUnreachable), false);
        return;
    default:
        submitAtHome(job, waiter, ownership, now);
        return;
    }
}

void EntryCore::relayRequest(RequestKind kind, const wire::Job &job, const Waiter &waiter, std::uint32_t hops, Instant now)
{
    const RequestKey key{job.submission_id(), kind, kind == RequestKind::Submit ? digestOf(job) : 0};
    if (hops >= MAX_HOPS) {
        sendAnswer(waiter, makeAnswer(job.submission_id(), wire::ANSWER_UNKNOWN, Reason::HomeUnreachable), kind != RequestKind::Submit);
        return;
    }
    const bool isNew = relays_.find(key) == nullptr;
    RelayedRequest request;
    request.kind = kind;
    request.job = job;
    request.waiters.push_back(waiter);
    request.deadline = now + (kind == RequestKind::Submit ? Duration(Millis(job.deadline_ms())) : Duration{0});
    request.hops = hops;
    RelayedRequest *stored = relays_.add(key, std::move(request));
    if (stored == nullptr) {
        counters_.add("entry_answers_unknown", Reason::JobTableFull);
        sendAnswer(waiter, makeAnswer(job.submission_id(), wire::ANSWER_UNKNOWN, Reason::JobTableFull), kind != RequestKind::Submit);
        return;
    }
    if (isNew) {
        sendRelayedRequest(key, *stored, now);
    }
}

void EntryCore::sendRelayedRequest(const RequestKey &key, RelayedRequest &relay, Instant now)
{
    relay.retryAt = now + settings_.resendInterval;
    const Ownership ownership = membership_.ownershipOf(key.id, relay.job.service(), now);
    if (ownership.kind != OwnershipKind::Remote) {
        // The roster has changed since the request was relayed, and this entry may be the home entry now.
        const RelayedRequest request = relays_.take(key);
        for (const Waiter &waiter : request.waiters) {
            if (key.kind == RequestKind::Submit) {
                wire::Job body = request.job;
                body.set_deadline_ms(static_cast<std::uint32_t>(toMillis(request.deadline - now)));
                routeSubmission(body, waiter, request.hops, now);
            } else {
                fetchOrCancel(key.kind, key.id, waiter, request.hops, now);
            }
        }
        return;
    }
    const Incarnation next = membership_.nextHop(ownership.home, now);
    relay.sentTo = next;
    if (next == INVALID_INCARNATION) {
        counters_.add("entry_relays_unroutable");
        return;
    }
    wire::Message message;
    switch (key.kind) {
    case RequestKind::Submit: {
        wire::ForwardJob *forward = message.mutable_forward_job();
        *forward->mutable_job() = relay.job;
        forward->mutable_job()->set_deadline_ms(static_cast<std::uint32_t>(toMillis(relay.deadline - now)));
        forward->set_roster_version(membership_.roster().version());
        forward->set_hops(relay.hops + 1);
        break;
    }
    case RequestKind::Fetch:
        message.mutable_fetch_job()->set_submission_id(key.id);
        message.mutable_fetch_job()->set_hops(relay.hops + 1);
        break;
    case RequestKind::Cancel:
        message.mutable_cancel_job()->set_submission_id(key.id);
        message.mutable_cancel_job()->set_hops(relay.hops + 1);
        break;
    }
    counters_.add("entry_relays_sent");
    output_.sendToPeer(next, std::move(message));
}

void EntryCore::tickRelays(Instant now)
{
    for (const RequestKey &key : relays_.dueRequests(now)) {
        RelayedRequest *relay = relays_.find(key);
        if (relay == nullptr) {
            continue;
        }
        if (now >= relay->deadline + settings_.answerGracePeriod) {
            counters_.add("entry_answers_unknown", Reason::HomeUnreachable);
            answerRelayedRequest(relays_.take(key), makeAnswer(key.id, wire::ANSWER_UNKNOWN, Reason::HomeUnreachable));
            continue;
        }
        sendRelayedRequest(key, *relay, now);
    }
}

void EntryCore::answerRelayedRequest(const RelayedRequest &relay, const wire::Answer &result)
{
    for (const Waiter &waiter : relay.waiters) {
        sendAnswer(waiter, result, relay.kind != RequestKind::Submit);
    }
}

void EntryCore::onJobAnswer(Incarnation peer, const wire::JobAnswer &message, Instant now)
{
    const wire::Answer &answer = message.answer();
    // An entry that was removed from the roster no longer decides: the entry that took over its submissions may answer differently.
    if (isRemoved(membership_.roster(), peer)) {
        counters_.add("entry_answers_of_removed");
        return;
    }
    const bool mustBeRecorded = answer.kind() == wire::ANSWER_FAILED || answer.kind() == wire::ANSWER_REFUSED;
    if (mustBeRecorded) {
        relays_.recordAnswer(peer, answer, now);
    }
    if (!message.is_fetch()) {
        answerRelayedRequest(relays_.take({answer.submission_id(), RequestKind::Submit, message.digest()}), answer);
        return;
    }
    answerRelayedRequest(relays_.take({answer.submission_id(), RequestKind::Fetch, 0}), answer);
    answerRelayedRequest(relays_.take({answer.submission_id(), RequestKind::Cancel, 0}), answer);
}

void EntryCore::fetch(CallerToken caller, const SubmissionId &id, Instant now)
{
    fetchOrCancel(RequestKind::Fetch, id, {caller, INVALID_INCARNATION, 0}, 0, now);
}

void EntryCore::cancel(CallerToken caller, const SubmissionId &id, Instant now)
{
    counters_.add("entry_cancels");
    fetchOrCancel(RequestKind::Cancel, id, {caller, INVALID_INCARNATION, 0}, 0, now);
}

void EntryCore::fetchOrCancel(RequestKind kind, const SubmissionId &id, const Waiter &waiter, std::uint32_t hops, Instant now)
{
    if (Job *known = jobs_.find(id)) {
        const wire::Answer before = currentAnswer(*known);
        if (kind == RequestKind::Cancel) {
            cancelJob(*known, now);
        }
        const Job *after = jobs_.find(id); // Cancelling erases a rebuilt job whose outcome remains unknown.
        sendAnswer(waiter, after == nullptr ? before : currentAnswer(*after), true);
        return;
    }
    const Ownership ownership = membership_.ownershipOf(id, {}, now);
    if (ownership.kind == OwnershipKind::Remote) {
        wire::Job job;
        job.set_submission_id(id);
        relayRequest(kind, job, waiter, hops, now);
        return;
    }
    sendAnswer(waiter, answerFromRecoveredState(kind, id, ownership, now), true);
}

wire::Answer EntryCore::answerFromRecoveredState(RequestKind kind, const SubmissionId &id, Ownership ownership, Instant now)
{
    const RecoveredState recovered = recoveredStateOf(id);
    if (recovered.answer != nullptr) {
        return *recovered.answer;
    }
    switch (ownership.kind) {
    case OwnershipKind::Pending:
        return makeAnswer(id, wire::ANSWER_PENDING, Reason::TakeoverIncomplete);
    case OwnershipKind::Local:
        if (kind == RequestKind::Fetch) {
            const Job *rebuilt = rebuildCompletedJob(id, now);
            if (rebuilt != nullptr) {
                return currentAnswer(*rebuilt);
            }
        }
        return recovered.starts.empty() ? makeAnswer(id, wire::ANSWER_INVALID, Reason::NotFound)
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
