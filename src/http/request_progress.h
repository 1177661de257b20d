/** @file request_progress.h Deadlines over a whole request: for its header, its body and the reading of its answer. */

#pragma once

#include "core/time_type.h"

#include <cstdint>

namespace medlarmill
{

/** Times and rates that a client must keep. */
struct ProgressLimits
{
    Duration idleTime = Millis(15'000); ///< Time until the first byte of a request.
    Duration headerTime = Millis(10'000); ///< Time from its first byte to the end of its header.
    Duration bodyGrace = Millis(10'000); ///< Time at the start of a body or an answer in which no rate is asked for.
    std::uint64_t minBytesPerSecond = 4'096; ///< Least average rate afterwards; a body of 262,144 bytes may take 74 s.
};

/** Judges the progress of one request; has no sockets and no clock. Waiting for an answer has no deadline here. */
class RequestProgress
{
public:
    /** @param limits the limits. */
    explicit RequestProgress(ProgressLimits limits);

    /** The connection waits for a request. @param now current time. */
    void beginIdle(Instant now);

    /** Bytes of a header arrived. @param now current time. */
    void onHeaderBytes(Instant now);

    /** The header is complete. @param now current time. */
    void beginBody(Instant now);

    /** Bytes of the body arrived. @param bytes how many. @param now current time. */
    void onBodyBytes(std::uint64_t bytes, Instant now);

    /** @return when the client is too slow unless more arrives before. */
    Instant deadline() const;

    /** @return when something arrived last. */
    Instant lastProgress() const
    {
        return lastProgress_;
    }

    /** @param bytes length of an answer. @param begin when its writing begins. @return when its reader is too slow. */
    Instant answerDeadline(std::uint64_t bytes, Instant begin) const;

private:
    enum class Phase : std::uint8_t {
        Idle, ///< Nothing has arrived.
        Header, ///< A part of the header has.
        Body, ///< The header has.
    };

    Duration timeFor(std::uint64_t bytes) const;

    ProgressLimits limits_;
    Phase phase_ = Phase::Idle;
    Instant phaseBegin_;
    Instant lastProgress_;
    std::uint64_t bodyBytes_ = 0;
};

}
