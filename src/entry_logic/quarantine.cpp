/** @file quarantine.cpp Circuit breaker per endpoint. */

#include "entry_logic/quarantine.h"

#include <algorithm>

namespace medlarmill
{

namespace
{

constexpr std::uint32_t MAX_FAILURES_IN_ROW = 3; ///< Failures in a row that take an endpoint out.
constexpr std::size_t MAX_OUT_DIVISOR = 3; ///< At most one in so many endpoints is out.
constexpr Duration FIRST_PAUSE = Millis(2'000); ///< Pause before the first trial.
constexpr Duration LONGEST_PAUSE = Millis(60'000); ///< Longest pause between trials.

}

void Quarantine::add(Incarnation agent)
{
    states_.try_emplace(agent);
}

void Quarantine::remove(Incarnation agent)
{
    const auto found = states_.find(agent);
    if (found == states_.end()) {
        return;
    }
    out_ -= found->second.out ? 1 : 0;
    states_.erase(found);
}

bool Quarantine::onTaskOutcome(Incarnation agent, bool success, Instant now)
{
    const auto found = states_.find(agent);
    if (found == states_.end()) {
        return false;
    }
    State &state = found->second;
    const bool wasProbe = state.probing;
    state.probing = false;
    if (success) {
        const bool changed = state.out;
        out_ -= state.out ? 1 : 0;
        state = State();
        return changed;
    }
    ++state.failuresInRow;
    if (state.out) {
        if (wasProbe) {
            state.pause = std::min(state.pause * 2, LONGEST_PAUSE);
            state.retryAt = now + state.pause;
        }
        return false;
    }
    if (state.failuresInRow < MAX_FAILURES_IN_ROW || (out_ + 1) * MAX_OUT_DIVISOR > states_.size()) {
        return false;
    }
    state.out = true;
    state.pause = FIRST_PAUSE;
    state.retryAt = now + state.pause;
    ++out_;
    return true;
}

bool Quarantine::isUsable(Incarnation agent, Instant now) const
{
    const auto found = states_.find(agent);
    if (found == states_.end()) {
        return false;
    }
    const State &state = found->second;
    return !state.out || (!state.probing && now >= state.retryAt);
}

void Quarantine::onGrant(Incarnation agent)
{
    const auto found = states_.find(agent);
    if (found != states_.end() && found->second.out) {
        found->second.probing = true;
    }
}

}
