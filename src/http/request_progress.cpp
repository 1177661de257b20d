/** @file request_progress.cpp Deadlines over a whole request. */

#include "http/request_progress.h"

namespace medlarmill
{

RequestProgress::RequestProgress(ProgressLimits limits)
    : limits_(limits)
{ }

void RequestProgress::beginIdle(Instant now)
{
    phase_ = Phase::Idle;
    phaseBegin_ = now;
    lastProgress_ = now;
    bodyBytes_ = 0;
}

void RequestProgress::onHeaderBytes(Instant now)
{
    if (phase_ == Phase::Idle) {
        phase_ = Phase::Header;
        phaseBegin_ = now; // Counted from the first byte: later ones give no further time.
    }
    lastProgress_ = now;
}

void RequestProgress::beginBody(Instant now)
{
    phase_ = Phase::Body;
    phaseBegin_ = now;
    lastProgress_ = now;
}

void RequestProgress::onBodyBytes(std::uint64_t bytes, Instant now)
{
    bodyBytes_ += bytes;
    if (bytes > 0) {
        lastProgress_ = now;
    }
}

Duration RequestProgress::timeFor(std::uint64_t bytes) const
{
    return Millis(static_cast<std::int64_t>(bytes * 1'000 / limits_.minBytesPerSecond));
}

Instant RequestProgress::deadline() const
{
    switch (phase_) {
    case Phase::Idle:
        return phaseBegin_ + limits_.idleTime;
    case Phase::Header:
        return phaseBegin_ + limits_.headerTime;
    case Phase::Body:
        return phaseBegin_ + limits_.bodyGrace + timeFor(bodyBytes_);
    }
    return phaseBegin_;
}

Instant RequestProgress::answerDeadline(std::uint64_t bytes, Instant begin) const
{
    return begin + limits_.bodyGrace + timeFor(bytes);
}

}
