/** @file crash_records.cpp Tasks under which endpoints crashed. */

#include "repeatable/crash_records.h"

#include <algorithm>

namespace medlarmill
{

namespace
{

constexpr std::size_t MAX_CRASHES_OF_TASK = 2; ///< Crashes under one task after which it is given up.
constexpr Duration RECORD_RETENTION = Millis(60'000); ///< How long a crash is remembered; callers submit again within seconds.
constexpr std::size_t MAX_RECORDS = 2'000; ///< Maximum number of crashes remembered.

}

bool CrashRecords::add(const SuspectedCrash &crash, Instant now)
{
    std::vector<SuspectedCrash> &crashes = bySubmission_[crash.run.submission];
    if (std::ranges::find(crashes, crash) != crashes.end()) {
        return false;
    }
    crashes.push_back(crash);
    times_.emplace_back(now, crash.run.submission);
    forgetOld(now);
    return true;
}

std::size_t CrashRecords::crashCount(std::span<const SuspectedCrash> crashes, std::uint32_t group, std::uint32_t index) const
{
    return static_cast<std::size_t>(std::ranges::count_if(crashes, [group, index](const SuspectedCrash &crash) {
        return crash.run.group == group && crash.run.index == index;
    }));
}

bool CrashRecords::isSuspect(const SubmissionId &submission, std::uint32_t group, std::uint32_t index) const
{
    const auto found = bySubmission_.find(submission);
    return found != bySubmission_.end() && crashCount(found->second, group, index) > 0;
}

bool CrashRecords::isGivenUp(const SubmissionId &submission) const
{
    const auto found = bySubmission_.find(submission);
    return found != bySubmission_.end() && std::ranges::any_of(found->second, [&](const SuspectedCrash &crash) {
               return crashCount(found->second, crash.run.group, crash.run.index) >= MAX_CRASHES_OF_TASK;
           });
}

void CrashRecords::forgetOld(Instant now)
{
    while (!times_.empty() && (times_.front().first + RECORD_RETENTION < now || times_.size() > MAX_RECORDS)) {
        const auto found = bySubmission_.find(times_.front().second);
        found->second.erase(found->second.begin());
        if (found->second.empty()) {
            bySubmission_.erase(found);
        }
        times_.pop_front();
    }
}

std::vector<SuspectedCrash> CrashRecords::all() const
{
    std::vector<SuspectedCrash> crashes;
    for (const auto &[submission, ofJob] : bySubmission_) {
        crashes.insert(crashes.end(), ofJob.begin(), ofJob.end());
    }
    return crashes;
}

}
