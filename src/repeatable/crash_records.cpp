/** @file crash_records.cpp Tasks under which endpoints crashed. */

#include "repeatable/crash_records.h"

#include <algorithm>

namespace medlarmill
{

namespace
{

constexpr std::ptrdiff_t MAX_SUSPECTED_CRASHES = 2; ///< Crashes soon after the start of a task after which it is given up.
constexpr std::ptrdiff_t MAX_CRASHES = 5; ///< Crashes of any kind after which it is given up: two starts after the third crash.
constexpr Duration RECORD_RETENTION = Millis(60'000); ///< How long a crash is remembered; callers submit again within seconds.
constexpr std::size_t MAX_RECORDS = 5'000; ///< Maximum number of crashes remembered.

bool isOfTask(const TaskCrash &crash, std::uint32_t group, std::uint32_t index)
{
    return crash.run.group == group && crash.run.index == index;
}

}

bool CrashRecords::add(const TaskCrash &crash, Instant now)
{
    std::vector<TaskCrash> &crashes = bySubmission_[crash.run.submission];
    if (std::ranges::find(crashes, crash) != crashes.end()) {
        return false;
    }
    crashes.push_back(crash);
    times_.emplace_back(now, crash.run.submission);
    forgetOld(now);
    return true;
}

bool CrashRecords::isSuspect(const SubmissionId &submission, std::uint32_t group, std::uint32_t index) const
{
    const auto found = bySubmission_.find(submission);
    return found != bySubmission_.end() && std::ranges::any_of(found->second, [group, index](const TaskCrash &crash) {
               return crash.isSuspect && isOfTask(crash, group, index);
           });
}

bool CrashRecords::isGivenUp(const SubmissionId &submission) const
{
    const auto found = bySubmission_.find(submission);
    if (found == bySubmission_.end()) {
        return false;
    }
    const std::vector<TaskCrash> &crashes = found->second;
    return std::ranges::any_of(crashes, [&crashes](const TaskCrash &crash) {
        const auto ofTask = [&crash](const TaskCrash &other) {
            return isOfTask(other, crash.run.group, crash.run.index);
        };
        const auto suspected = std::ranges::count_if(crashes, [&ofTask](const TaskCrash &other) {
            return other.isSuspect && ofTask(other);
        });
        return suspected >= MAX_SUSPECTED_CRASHES || std::ranges::count_if(crashes, ofTask) >= MAX_CRASHES;
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

std::vector<TaskCrash> CrashRecords::all() const
{
    std::vector<TaskCrash> crashes;
    for (const auto &[submission, ofJob] : bySubmission_) {
        crashes.insert(crashes.end(), ofJob.begin(), ofJob.end());
    }
    return crashes;
}

}
