/** @file cancelled_jobs.cpp Bounded record of cancelled jobs. */

#include "repeatable/cancelled_jobs.h"

#include <algorithm>

namespace medlarmill
{

bool CancelledJobs::add(const SubmissionId &id, Duration keep, Instant now)
{
    const bool isNew = !records_.contains(id);
    erase(id);
    if (records_.size() >= limit_) {
        erase(SubmissionId(byTime_.begin()->second));
        ++dropped_;
    }
    const Duration limited = keep.count() == 0 ? CANCELLATION_RETENTION : std::min<Duration>(keep, CANCELLATION_RETENTION);
    const Record record{now, now + limited};
    records_.emplace(id, record);
    byTime_.emplace(record.cancelledAt, id);
    byEnd_.emplace(record.keepUntil, id);
    return isNew;
}

std::vector<SubmissionId> CancelledJobs::cancelledSince(Instant since) const
{
    std::vector<SubmissionId> ids;
    for (auto item = byTime_.lower_bound({since, SubmissionId()}); item != byTime_.end(); ++item) {
        ids.push_back(item->second);
    }
    return ids;
}

Duration CancelledJobs::timeLeft(const SubmissionId &id, Instant now) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? Duration(0) : std::max(Duration(0), found->second.keepUntil - now);
}

void CancelledJobs::forgetOld(Instant now)
{
    while (!byEnd_.empty() && byEnd_.begin()->first <= now) {
        erase(SubmissionId(byEnd_.begin()->second));
    }
}

void CancelledJobs::erase(const SubmissionId &id)
{
    const auto found = records_.find(id);
    if (found == records_.end()) {
        return;
    }
    byTime_.erase({found->second.cancelledAt, id});
    byEnd_.erase({found->second.keepUntil, id});
    records_.erase(found);
}

}
