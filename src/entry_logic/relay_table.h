/** @file relay_table.h Requests that this entry forwarded to their home, and answers it recorded for other homes. */

#pragma once

#include "entry_logic/job_type.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <deque>
#include <string>
#include <vector>

namespace medlarmill
{

/** What a forwarded request wants. */
enum class RequestKind : std::uint8_t {
    Submit, ///< Run a job.
    Fetch, ///< Read an answer.
    Cancel, ///< Cancel a job.
};

/** A request that was forwarded to the home of its submission. */
struct RelayedRequest
{
    RequestKind kind = RequestKind::Submit; ///< What is wanted.
    wire::Job job; ///< The body, for Submit; otherwise only the id.
    std::vector<Waiter> waiters; ///< Who gets the answer.
    Instant deadline; ///< Deadline of the job.
    Instant retryAt; ///< When it is sent again without an answer.
    Incarnation sentTo = INVALID_INCARNATION; ///< Entry it was last sent to.
    std::uint32_t hops = 0; ///< Entries it has passed.
};

/** Key of a forwarded request; submissions and reads of one id are separate. */
struct RequestKey
{
    SubmissionId id; ///< The submission.
    RequestKind kind = RequestKind::Submit; ///< What is wanted.
    std::uint64_t digest = 0; ///< Hash of the body for Submit: another body under the same id is another request.

    auto operator<=>(const RequestKey &) const = default;
};

/** Bounded table of forwarded requests and of answers recorded for other homes. */
class RelayTable
{
public:
    /** @param maxRelayedRequests most forwarded requests. @param maxRecordedAnswers most recorded answers. @param retention how long an
     * answer is kept. */
    RelayTable(std::size_t maxRelayedRequests, std::size_t maxRecordedAnswers, Duration retention);

    /** Adds a request, or its waiters to the same request. @param key its key. @param relay the request. @return the request, or nullptr
     * when the table is full. */
    RelayedRequest *add(const RequestKey &key, RelayedRequest relay);

    /** Takes a request out. @param key its key. @return the request; without waiters when there was none. */
    RelayedRequest take(const RequestKey &key);

    /** @param now the present. @return requests to send again or to give up. */
    std::vector<RequestKey> dueRequests(Instant now) const;

    /** @param key its key. @return the request, or nullptr. */
    RelayedRequest *find(const RequestKey &key);

    /** Makes every request due, after a change of the roster. @param now the present. */
    void makeAllDue(Instant now);

    /** Records an answer for its home. @param home the home. @param answer the answer. @param now the present. @return false when the table
     * is full. */
    bool recordAnswer(Incarnation home, const wire::Answer &answer, Instant now);

    /** @param home a home. @return the answers recorded for it. */
    std::vector<wire::Answer> recordedAnswers(Incarnation home) const;

    /** @param id a submission. @return the answer recorded for any home, or nullptr. */
    const wire::Answer *findRecordedAnswer(const SubmissionId &id) const;

    /** @return every home with recorded answers. */
    std::vector<Incarnation> homesWithRecordedAnswers() const;

    /** Forgets answers past their retention. @param now the present. */
    void expire(Instant now);

    /** @return forwarded requests without an answer. */
    std::size_t pendingCount() const
    {
        return relays_.size();
    }

private:
    struct Expiry
    {
        Instant at; ///< End of the retention.
        Incarnation home = INVALID_INCARNATION; ///< The home.
        SubmissionId id; ///< The submission.
    };

    std::size_t maxRelayedRequests_;
    std::size_t maxRecordedAnswers_;
    Duration retention_;
    absl::btree_map<RequestKey, RelayedRequest> relays_;
    absl::btree_map<Incarnation, absl::btree_map<SubmissionId, wire::Answer>> recorded_;
    std::deque<Expiry> expiries_;
};

}
