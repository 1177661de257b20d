/** @file cancellation.cpp Cancellation of jobs at any entry. */

#include "repeatable/cancellation.h"

#include <algorithm>
#include <fmt/format.h>
#include <string_view>
#include <vector>

namespace medlarmill
{

namespace
{

constexpr Duration ANSWER_TIMEOUT = Millis(1'000); ///< Callers are answered within it; well below the 4 s that they are promised.
constexpr double CANCELS_PER_SECOND = 200; ///< Cancellations sent to all entries and agents; bounds the messages of a flood of unknown ids.
constexpr double CANCEL_BURST = 400; ///< The same at once, after a quiet time.
constexpr Duration LINK_LOSS_DELAY
    = Millis(3'000); ///< Messages sent so long before a link was closed may be lost; silence closes it in 1.5 s.

repeat::Message makeCancel(const SubmissionId &id, std::uint64_t request, Duration keep)
{
    repeat::Message message;
    message.mutable_job_cancel()->set_submission(id);
    message.mutable_job_cancel()->set_request(request);
    message.mutable_job_cancel()->set_keep_ms(static_cast<std::uint32_t>(toMillis(keep)));
    return message;
}

std::string_view answerName(CancelAnswer answer)
{
    switch (answer) {
    case CancelAnswer::Cancelled:
        return "cancelled";
    case CancelAnswer::NoSuchJob:
        return "no_such_job";
    case CancelAnswer::TooMany:
        return "too_many";
    }
    return "unknown";
}

}

Cancellation::Cancellation(RepeatableJobEntry &core, LinkOutput &links, EventLog &log)
    : core_(core)
    , links_(links)
    , log_(log)
    , tokens_(CANCEL_BURST)
{ }

bool Cancellation::takeToken(Instant now)
{
    const double seconds = std::chrono::duration<double>(now - tokensAt_).count();
    tokens_ = std::min(CANCEL_BURST, tokens_ + std::max(0.0, seconds) * CANCELS_PER_SECOND);
    tokensAt_ = now;
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

void Cancellation::tellAgents(const SubmissionId &id)
{
    for (const Incarnation agent : agents_) {
        links_.sendTo(agent, makeCancel(id, 0, CANCELLATION_RETENTION));
    }
}

void Cancellation::cancel(const SubmissionId &id, std::size_t unlinkedEntries, Done done, Instant now)
{
    if (!takeToken(now)) {
        // A job that this entry holds is cancelled all the same.
        const bool held = core_.cancel(id, now);
        counters_.add("entry_cancels_unsent");
        log_.warn(fmt::format("event=cancel_unsent id={} held={:d} open_requests={}", id, held, requests_.size()));
        done(held ? CancelAnswer::Cancelled : CancelAnswer::TooMany);
        return;
    }
    const bool held = core_.onJobCancelled(id, CANCELLATION_RETENTION, now);
    const std::uint64_t number = nextRequest_++;
    log_.info(fmt::format("event=cancel_asked id={} request={} held={:d} entries={} unlinked={} agents={}", id, number, held,
                          entries_.size(), unlinkedEntries, agents_.size()));
    Request &request = requests_[number];
    request = {id, {}, unlinkedEntries > 0, now + ANSWER_TIMEOUT, std::move(done)};
    for (const Incarnation entry : entries_) {
        request.unanswered.insert(entry);
        links_.sendTo(entry, makeCancel(id, number, CANCELLATION_RETENTION));
    }
    tellAgents(id);
    if (held) {
        answer(number, CancelAnswer::Cancelled, now);
    } else if (request.unanswered.empty() && !request.mayBeHeld) {
        answer(number, CancelAnswer::NoSuchJob, now);
    }
}

void Cancellation::onJobCancel(Incarnation entry, const repeat::JobCancel &message, Instant now)
{
    const SubmissionId &id = message.submission();
    const bool isKnown = core_.cancelledJobs().contains(id);
    const bool held = core_.onJobCancelled(id, Millis(message.keep_ms()), now);
    counters_.add("entry_cancels_received");
    log_.info(fmt::format("event=cancel_received id={} from={:016x} request={} held={:d}", id, toWire(entry), message.request(), held));
    if (!isKnown) {
        tellAgents(id);
    }
    if (message.request() == 0) {
        return;
    }
    repeat::Message reply;
    reply.mutable_job_cancel_reply()->set_request(message.request());
    reply.mutable_job_cancel_reply()->set_held(held);
    links_.sendTo(entry, std::move(reply));
}

void Cancellation::onReply(Incarnation entry, const repeat::JobCancelReply &message, Instant now)
{
    const auto found = requests_.find(message.request());
    if (found == requests_.end()) {
        return;
    }
    found->second.unanswered.erase(entry);
    if (message.held()) {
        answer(message.request(), CancelAnswer::Cancelled, now);
    } else if (found->second.unanswered.empty() && !found->second.mayBeHeld) {
        answer(message.request(), CancelAnswer::NoSuchJob, now);
    }
}

void Cancellation::onLinkUp(Incarnation peer, bool isEntry, Instant now)
{
    (isEntry ? entries_ : agents_).insert(peer);
    const auto down = linkDownAt_.find(peer);
    const Instant since = down == linkDownAt_.end() ? Instant() : down->second - LINK_LOSS_DELAY;
    linkDownAt_.erase(peer);
    const CancelledJobs &jobs = core_.cancelledJobs();
    for (const SubmissionId &id : jobs.cancelledSince(since)) {
        links_.sendTo(peer, makeCancel(id, 0, jobs.timeLeft(id, now)));
    }
}

void Cancellation::onLinkDown(Incarnation peer, Instant now)
{
    agents_.erase(peer);
    linkDownAt_[peer] = now;
    if (entries_.erase(peer) == 0) {
        return;
    }
    for (auto &[number, request] : requests_) {
        request.mayBeHeld = request.unanswered.erase(peer) > 0 || request.mayBeHeld;
    }
}

void Cancellation::answer(std::uint64_t number, CancelAnswer answer, Instant now)
{
    const auto found = requests_.find(number);
    const Request request = std::move(found->second);
    requests_.erase(found);
    counters_.add(fmt::format("entry_cancels_answered{{answer=\"{}\"}}", answerName(answer)));
    log_.info(fmt::format("event=cancel_answered id={} request={} answer={} unanswered={} unlinked={:d} after_ms={}", request.id, number,
                          answerName(answer), request.unanswered.size(), request.mayBeHeld,
                          toMillis(now + ANSWER_TIMEOUT - request.until)));
    request.done(answer);
}

void Cancellation::tick(Instant now)
{
    while (!requests_.empty() && requests_.begin()->second.until <= now) {
        answer(requests_.begin()->first, CancelAnswer::Cancelled, now);
    }
    absl::erase_if(linkDownAt_, [now](const auto &item) {
        return item.second + CANCELLATION_RETENTION < now;
    });
}

}
