/** @file admission.h Decision whether a job is admitted to the queue of an entry. */

#pragma once

#include "core/time_type.h"

#include <span>
#include <string_view>

namespace medlarmill
{

/** Work of a job that waits for free capacity. Work is measured in thousandths of a core times microseconds. */
struct QueuedWork
{
    Instant latestStart; ///< Latest start that still meets the response time objective of the job.
    double work = 0; ///< Work of its tasks that have not been ordered.
};

/**
 * Part of the time until its latest start in which a job must be expected to be ordered to be admitted. Estimates of waiting times are
 * too short above capacity, when jobs compete with those of other entries; the share shrinks with each job that is ordered late.
 */
class SlackShare
{
public:
    /** All tasks of a job have been ordered, or it is late. @param inTime whether that was before its latest start. */
    void onJobOrdered(bool inTime);

    /** @return the share, from 0 to 1. */
    double value() const
    {
        return value_;
    }

private:
    double value_ = 1;
};

/** @param work an amount of work. @param rate work that gets done per microsecond. @return time until it is done; at most one hour. */
Duration estimateWait(double work, double rate);

/** Time that a refused caller is told to wait: the expected drain time, spread over 0.75 to 1.5 of it by a hash of the job's id, so that
 * callers refused at one moment do not return at one moment. @param drain expected time until the queue is empty. @param id id of the job.
 * @return the time, from 100 ms to 5 s. */
Duration retryDelay(Duration drain, std::string_view id);

/** Result of an admission check. */
struct AdmissionVerdict
{
    bool admitted = false;
    Duration wait{0}; ///< Predicted time until the job would be ordered, without correction.
};

/**
 * Checks whether a job can be ordered in time without making an admitted job late. It answers loads above capacity: without the check, a
 * queue ordered by deadlines serves every job a little too late.
 * @param queue waiting jobs, in ascending order of their latest starts.
 * @param job the new job.
 * @param rate work that the entry gets done per microsecond; 0 or less when it gets none done.
 * @param correction factor for predicted waiting times: the reciprocal of the slack share; see SlackShare.
 * @param now current time.
 * @return the verdict.
 */
AdmissionVerdict checkAdmission(std::span<const QueuedWork> queue, const QueuedWork &job, double rate, double correction, Instant now);

}
