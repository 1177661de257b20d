/** @file notice_order.h Order of the announcements of an endpoint's processes. */

#pragma once

#include "repeatable/repeatable_job_type.h"

#include <optional>

namespace medlarmill
{

/** What an announcement is, compared with the newest one in use. */
enum class NoticeKind : std::uint8_t {
    Late, ///< Of an earlier process, or an earlier one of the same process.
    Update, ///< A newer one of the same process.
    NewProcess, ///< Of another process, which takes the place of the former.
};

/**
 * Tells late announcements from those of a new process. The start time orders the processes, but it follows the wall clock, which may have
 * been set back in between. So an announcement with an earlier start time counts as one of a new process when the process in use does not
 * answer, or when it repeats, with a higher sequence number and after a while, and none of the process in use came meanwhile.
 */
class NoticeOrder
{
public:
    /**
     * @param current announcement in use. @param currentAnswers whether its process answers, as far as known.
     * @param notice an announcement that has arrived. @param now current time.
     */
    NoticeKind judge(const EndpointNotice &current, bool currentAnswers, const EndpointNotice &notice, Instant now);

private:
    struct Candidate
    {
        std::string id;
        std::uint64_t startUnixMs = 0;
        std::uint64_t sequence = 0;
        Instant since; ///< When its first announcement arrived.
    };

    bool isRepeated(const EndpointNotice &notice, Instant now);

    std::optional<Candidate> candidate_; ///< Process with an earlier start time whose announcement came last.
};

}
