/** @file notice_order.cpp Order of the announcements of an endpoint's processes. */

#include "repeatable/notice_order.h"

namespace medlarmill
{

namespace
{

constexpr Duration REPEAT_TIME = Millis(1'000); ///< Heartbeats come every 1,500 ms; delayed ones of an earlier process arrive together.

}

NoticeKind NoticeOrder::judge(const EndpointNotice &current, bool currentAnswers, const EndpointNotice &notice, Instant now)
{
    const bool startsKnown = notice.startUnixMs != 0 && current.startUnixMs != 0;
    const bool sameId = notice.id == current.id;
    if (sameId && (!startsKnown || notice.startUnixMs == current.startUnixMs)) {
        if (notice.sequence > current.sequence) {
            candidate_.reset();
            return NoticeKind::Update;
        }
        if (startsKnown) {
            return NoticeKind::Late;
        }
    } else if (startsKnown ? notice.startUnixMs >= current.startUnixMs : !sameId) {
        candidate_.reset();
        return NoticeKind::NewProcess;
    }
    if (!currentAnswers || isRepeated(notice, now)) {
        candidate_.reset();
        return NoticeKind::NewProcess;
    }
    return NoticeKind::Late;
}

bool NoticeOrder::isRepeated(const EndpointNotice &notice, Instant now)
{
    if (!candidate_.has_value() || candidate_->id != notice.id || candidate_->startUnixMs != notice.startUnixMs
        || notice.sequence <= candidate_->sequence) {
        candidate_ = Candidate{notice.id, notice.startUnixMs, notice.sequence, now};
        return false;
    }
    candidate_->sequence = notice.sequence;
    return now - candidate_->since >= REPEAT_TIME;
}

}
