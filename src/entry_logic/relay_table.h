/** @file relay_table.h Requests relayed to their home entry, and answers recorded on behalf of other entries. */

#pragma once

#include "entry_logic/job_type.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <deque>
#include <string>
#include <vector>

namespace medlarmill
{

/** Operation of a relayed request. */
enum class RequestKind : std::uint8_t {
    Submit, ///< Run a job.
    Fetch, ///< Get the state or answer of a job.
    Cancel, ///< Cancel a job.
};

/** A request relayed to the home entry of its submission. */
struct RelayedRequest
{
    RequestKind kind = RequestKind::Submit;
    wire::Job job; ///< The whole job for Submit, otherwise only its id.
    std::vector<Waiter> waiters; ///< Recipients of the answer.
    Instant deadline; ///< Deadline of the job for Submit, otherwise the time of the request.
    Instant retryAt; ///< When to send the request again if it is still unanswered.
    Incarnation sentTo = INVALID_INCARNATION; ///< Entry that the request was last sent to.
    std::uint32_t hops = 0; ///< Number of entries that the request has passed.
};

/** Key of a relayed request. Different operations on the same submission have separate keys. */
struct RequestKey
{
    SubmissionId id;
    RequestKind kind = RequestKind::Submit;
    std::uint64_t digest = 0; ///< Hash of the job for Submit, otherwise 0; a different job with the same id is a separate request.

    auto operator<=>(const RequestKey &) const = default;
};

/** Bounded table of unanswered relayed requests, and of answers recorded on behalf of other entries. */
class RelayTable
{
public:
    /** @param maxRelayedRequests maximum number of relayed requests. @param maxRecordedAnswers maximum number of recorded answers. @param
     * retention how long an answer is kept. */
    RelayTable(std::size_t maxRelayedRequests, std::size_t maxRecordedAnswers, Duration retention);

    /** Adds a request, or adds its waiters to an existing request with the same key. @param key its key. @param relay the
     * request. @return the request in the table, or nullptr if the table is full. */
    RelayedRequest *add(const RequestKey &key, RelayedRequest relay);

    /** Removes a request. @param key its key. @return the request; one without waiters if the key is unknown. */
    RelayedRequest take(const RequestKey &key);

    /** @param now current time. @return requests whose retry time has come. */
    std::vector<RequestKey> dueRequests(Instant now) const;

    /** @param key its key. @return the request, or nullptr if the key is unknown. */
    RelayedRequest *find(const RequestKey &key);

    /** Sets the retry time of every request to now, so that all are routed again after a change of roster or sessions. @param now current
     * time. */
    void makeAllDue(Instant now);

    /** Records an answer on behalf of its home entry. @param home the home entry. @param answer the answer. @param now current time.
     * @return false if the table is full. */
    bool recordAnswer(Incarnation home, const wire::Answer &answer, Instant now);

    /** @param home a home entry. @return the answers recorded for it. */
    std::vector<wire::Answer> recordedAnswers(Incarnation home) const;

    /** @param id a submission. @return its answer, whichever home entry it was recorded for, or nullptr. */
    const wire::Answer *findRecordedAnswer(const SubmissionId &id) const;

    /** @return home entries that answers are recorded for. */
    std::vector<Incarnation> homesWithRecordedAnswers() const;

    /** Removes answers that have been kept for the retention period. @param now current time. */
    void expire(Instant now);

    /** @return number of relayed requests without an answer. */
    std::size_t pendingCount() const
    {
        return relays_.size();
    }

private:
    struct Expiry
    {
        Instant at;
        Incarnation home = INVALID_INCARNATION;
        SubmissionId id;
    };

    std::size_t maxRelayedRequests_;
    std::size_t maxRecordedAnswers_;
    Duration retention_;
    absl::btree_map<RequestKey, RelayedRequest> relays_;
    absl::btree_map<Incarnation, absl::btree_map<SubmissionId, wire::Answer>> recorded_;
    std::deque<Expiry> expiries_;
};

}
