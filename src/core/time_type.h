/** @file time_type.h Time as the decision code sees it: a monotonic instant handed in with every event. */

#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace medlarmill
{

using Duration = std::chrono::microseconds; ///< All spans of time.
using Millis = std::chrono::milliseconds; ///< Spans given in settings and messages.

/** Tag of the monotonic clock of the process; the decision code never reads it. */
struct ProcessClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<ProcessClock>;
    static constexpr bool is_steady = true;

    /** @return the present instant of the clock that also counts the time in which the machine is suspended. */
    static time_point now()
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec)));
    }
};

using Instant = ProcessClock::time_point; ///< A point on the monotonic clock of one process.

constexpr Instant NEVER = Instant::max(); ///< An instant that is not reached.

/** Converts a span to whole milliseconds. @param span the span. @return milliseconds, rounded down; 0 when negative. */
constexpr std::uint64_t toMillis(Duration span)
{
    return span.count() <= 0 ? 0 : static_cast<std::uint64_t>(std::chrono::duration_cast<Millis>(span).count());
}

}
