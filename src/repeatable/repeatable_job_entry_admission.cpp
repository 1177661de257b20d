/** @file repeatable_job_entry_admission.cpp Scheduling of repeatable jobs at an entry: which jobs are admitted. */

#include "repeatable/admission.h"
#include "repeatable/repeatable_job_entry.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <utility>

namespace medlarmill
{

namespace
{

constexpr Duration EVACUATED_RETRY_AFTER = Millis(5'000); ///< Operators take zones back after minutes rather than moments.

}

std::vector<QueuedWork> RepeatableJobEntry::queuedWork(std::string_view service, std::string_view label) const
{
    absl::flat_hash_map<std::string_view, double> shareByLabel = {{label, 1.0}};
    const auto shareOf = [&](std::string_view required) {
        const auto [found, isNew] = shareByLabel.try_emplace(required, 0);
        const double available = std::max(placement_.availableCpu(service, {required}), placement_.availableCpu(service, {label}));
        if (isNew && available > 0) {
            found->second = placement_.availableCpu(service, {required, label}) / available;
        }
        return found->second;
    };
    std::vector<QueuedWork> queue;
    const auto addQueue = [&](const absl::btree_set<JobRank> &ranks, bool isBegun) {
        for (const JobRank &rank : ranks) {
            const Job &job = jobs_.at(rank.second);
            if (job.submission.policy.service != service) {
                continue;
            }
            double work = 0;
            for (const RepeatableJobTask &task : job.tasks) {
                if (task.state != TaskState::Waiting && task.state != TaskState::Blocked) {
                    continue;
                }
                const TaskGroup &group = job.submission.groups[task.group];
                work += static_cast<double>(group.demand.cpu) * static_cast<double>(expectedRunTime(job.submission, group).count())
                    * shareOf(group.requiredLabel);
            }
            if (work > 0) {
                queue.push_back({isBegun ? Instant::min() : rank.first, work});
            }
        }
    };
    addQueue(begunQueue_, true);
    addQueue(onTimeQueue_, false);
    return queue;
}

Duration RepeatableJobEntry::estimateQueueingDelay(std::string_view service) const
{
    double work = 0;
    for (const QueuedWork &waiting : queuedWork(service, {})) {
        work += waiting.work;
    }
    return estimateWait(work, placement_.availableCpu(service));
}

bool RepeatableJobEntry::isPlacedAtOnce(const RepeatableJob &job, Instant latestStart) const
{
    absl::btree_set<std::string_view> claimedLabels;
    const auto addLabels = [&](const absl::btree_set<JobRank> &queue, Instant last) {
        for (const auto &[rank, number] : queue) {
            const Job &waiting = jobs_.at(number);
            if (rank > last) {
                break;
            }
            if (waiting.submission.policy.service != job.policy.service) {
                continue;
            }
            for (const RepeatableJobTask &task : waiting.tasks) {
                if (task.state == TaskState::Waiting) {
                    claimedLabels.insert(waiting.submission.groups[task.group].requiredLabel);
                }
            }
        }
    };
    addLabels(begunQueue_, NEVER);
    addLabels(onTimeQueue_, latestStart);
    const std::vector<std::string_view> labels(claimedLabels.begin(), claimedLabels.end());
    return placement_.fitsNow(job.policy.service, job.groups, labels);
}

RepeatableJobEntry::Admission RepeatableJobEntry::checkNewJob(const RepeatableJob &job, Instant now) const
{
    if (jobs_.size() >= settings_.maxJobs) {
        return {Reason::JobTableFull, Duration(0), retryDelay(Duration(0), job.id)};
    }
    // While the capacity is not known, as after a pause of this process, jobs wait for the links; isIsolated() limits that.
    if (!isCapacityKnown(now)) {
        return {};
    }
    if (placement_.isWhollyEvacuated(job.policy.service)) {
        return {Reason::Evacuated, Duration(0), EVACUATED_RETRY_AFTER};
    }
    const Duration criticalPath = criticalPathTime(job);
    const Instant latestStart = now + responseTimeObjective(job, criticalPath) - criticalPath;
    absl::btree_map<std::string_view, double> workByLabel;
    for (const TaskGroup &group : job.groups) {
        workByLabel[group.requiredLabel]
            += static_cast<double>(group.count) * group.demand.cpu * static_cast<double>(expectedRunTime(job, group).count());
    }
    const std::string_view service = job.policy.service;
    Admission admission;
    for (const auto &[label, work] : workByLabel) {
        const std::vector<QueuedWork> queue = queuedWork(service, label);
        const AdmissionVerdict verdict
            = checkAdmission(queue, {latestStart, work}, placement_.availableCpu(service, {label}), 1 / slackShare_.value(), now);
        admission.predictedWait = std::max(admission.predictedWait, verdict.wait);
        if (!verdict.admitted && !queue.empty()) {
            admission.refusal = Reason::DeadlineUnreachable;
        }
    }
    if (admission.refusal != Reason::None && isPlacedAtOnce(job, latestStart)) {
        admission.refusal = Reason::None;
    }
    if (admission.refusal != Reason::None) {
        admission.retryAfter = retryDelay(std::max(admission.predictedWait, estimateQueueingDelay(service)), job.id);
    }
    return admission;
}

}
