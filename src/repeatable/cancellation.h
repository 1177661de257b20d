/** @file cancellation.h Cancellation of jobs at any entry: who is told, who has answered, and what the caller is answered. */

#pragma once

#include "core/counters.h"
#include "repeatable/cancelled_jobs.h"
#include "repeatable/event_log.h"
#include "repeatable/repeatable_job_entry.h"
#include "repeatable/repeatable_job_output.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <functional>
#include <string>

namespace medlarmill
{

/** What the caller of a cancellation is answered. */
enum class CancelAnswer : std::uint8_t {
    Cancelled, ///< An entry held the job, or one that may hold it has not answered: it is cancelled, and no entry starts tasks of it.
    NoSuchJob, ///< Every known entry has confirmed that it does not hold the job.
    TooMany, ///< Nothing was done: too many cancellations of unknown jobs.
};

/** Cancels jobs for callers of this entry and for other entries. */
class Cancellation
{
public:
    using Done = std::function<void(CancelAnswer)>; ///< Gets the answer once.

    /** @param core the jobs of this entry. @param links sends to agents and entries. @param log receives events. All must outlive it. */
    Cancellation(RepeatableJobEntry &core, LinkOutput &links, EventLog &log);

    /** Cancels a job. @param id the job. @param unlinkedEntries number of entries that are known and not linked. @param done gets the
     * answer, at once or within a second. @param now current time. */
    void cancel(const SubmissionId &id, std::size_t unlinkedEntries, Done done, Instant now);

    /** Another entry has cancelled a job. @param entry the sender. @param message the job. @param now current time. */
    void onJobCancel(Incarnation entry, const repeat::JobCancel &message, Instant now);

    /** Another entry says whether it held a job. @param entry the sender. @param message its answer. @param now current time. */
    void onReply(Incarnation entry, const repeat::JobCancelReply &message, Instant now);

    /** A link is up: its process is told what was cancelled while it was down. @param peer the process. @param isEntry whether it is an
     * entry rather than an agent. @param now current time. */
    void onLinkUp(Incarnation peer, bool isEntry, Instant now);

    /** A link is down. @param peer the process. @param now current time. */
    void onLinkDown(Incarnation peer, Instant now);

    /** Answers callers whose time is up and forgets old state. @param now current time. */
    void tick(Instant now);

    /** @return event counters. */
    const Counters &counters() const
    {
        return counters_;
    }

private:
    struct Request
    {
        SubmissionId id; ///< The job.
        absl::btree_set<Incarnation> unanswered; ///< Entries that have been asked and have not answered.
        bool mayBeHeld = false; ///< An entry that may hold the job cannot answer.
        Instant until; ///< The caller is answered then at the latest.
        Done done; ///< Answers the caller.
    };

    bool takeToken(Instant now);
    void tellAgents(const SubmissionId &id);
    void answer(std::uint64_t number, CancelAnswer answer, Instant now);

    RepeatableJobEntry &core_;
    LinkOutput &links_;
    EventLog &log_;
    absl::btree_set<Incarnation> entries_; ///< Linked entries.
    absl::btree_set<Incarnation> agents_; ///< Linked agents.
    absl::btree_map<Incarnation, Instant> linkDownAt_; ///< When links that are down went down.
    absl::btree_map<std::uint64_t, Request> requests_;
    std::uint64_t nextRequest_ = 1;
    double tokens_; ///< Cancellations that may be sent now.
    Instant tokensAt_; ///< When `tokens_` was computed.
    Counters counters_;
};

}
