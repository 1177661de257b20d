/** @file fencing_token.cpp Fencing token of an agent at its endpoint. */

#include "repeatable/fencing_token.h"

#include <algorithm>

namespace medlarmill
{

namespace
{

constexpr std::uint64_t MAX_MS = FencingToken::MAX_VALUE / 8; ///< Longest plausible time; 35,000 years.
constexpr std::uint64_t FIRST_OFFSET
    = 1'024; ///< In ms; an agent that starts within this time after the last refused one needs one refusal.

/** @return the time; 0 for one that only an error explains, which would use up all higher tokens. */
std::uint64_t plausibleMs(std::uint64_t timeMs)
{
    return timeMs <= MAX_MS ? timeMs : 0;
}

}

void FencingToken::beginProcess(std::uint64_t startUnixMs, std::uint64_t clockMs)
{
    startUnixMs_ = plausibleMs(startUnixMs);
    clockMs_ = plausibleMs(clockMs);
    offset_ = 0;
    // Even when the clocks went back, calls that were delayed on their way to an earlier process have a lower token.
    raiseTo(startUnixMs_ + clockMs_);
}

bool FencingToken::onRefused(std::uint64_t refused, std::uint64_t clockMs)
{
    if (refused < value_) {
        return false;
    }
    clockMs_ = std::max(clockMs_, plausibleMs(clockMs));
    offset_ = std::clamp(offset_ * 2, FIRST_OFFSET, MAX_VALUE);
    raiseTo(startUnixMs_ + clockMs_ + offset_);
    return true;
}

void FencingToken::raiseTo(std::uint64_t candidate)
{
    value_ = std::min(std::max(value_ + 1, candidate), MAX_VALUE);
}

}
