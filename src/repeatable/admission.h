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
 * Learned factor for predicted waiting times. Predictions are too short above capacity, when jobs compete with those of other entries and
 * with later ones that are more urgent. The factor follows the ratios of actual to predicted waiting times (mean plus a multiple of the
 * mean deviation, so that most jobs are in time and not half of them), and is forgotten soon after nothing waits any more.
 */
class WaitCorrection
{
public:
    /** The wait of an admitted job is known. @param predicted the prediction made at its admission, without the factor. @param actual time
     * until its last task was ordered or it was late. @param now current time. */
    void onWaitKnown(Duration predicted, Duration actual, Instant now);

    /** Notes whether jobs wait; the factor decays to 1 while none does. @param jobsWait whether any job waits. @param now current time. */
    void onQueueChanged(bool jobsWait, Instant now);

    /** @param now current time. @return the factor by which predictions are to be multiplied, from 0.5 to 10. */
    double value(Instant now) const;

private:
    double evidenceLeft(Instant now) const;
    void decayUntil(Instant now);

    double mean_ = 1; ///< Moving average of the ratios.
    double deviation_ = 0; ///< Moving average of their distance from the mean.
    Instant idleSince_
        = NEVER; ///< Since when no job has been waiting, or when the averages last changed after that; NEVER while one waits.
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
 * @param correction factor for predicted waiting times; see WaitCorrection.
 * @param now current time.
 * @return the verdict.
 */
AdmissionVerdict checkAdmission(std::span<const QueuedWork> queue, const QueuedWork &job, double rate, double correction, Instant now);

}
