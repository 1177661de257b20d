/** @file quarantine.cpp Circuit breaker per endpoint. */

#include "entry_logic/quarantine.h"

#include <algorithm>

namespace medlarmill
{

namespace
{

constexpr std::uint32_t FAILURE_THRESHOLD = 3; ///< Number of consecutive failures after which an endpoint is quarantined.
constexpr std::size_t MAX_QUARANTINED_DIVISOR = 3; ///< At most the number of endpoints divided by this is quarantined at once.
constexpr Duration INITIAL_BACKOFF = Millis(2'000); ///< Time before the first probe.
constexpr Duration MAX_BACKOFF = Millis(60'000); ///< Maximum time between probes.

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
    quarantinedCount_ -= found->second.quarantined ? 1 : 0;
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
        const bool changed = state.quarantined;
        quarantinedCount_ -= state.quarantined ? 1 : 0;
        state = State();
        return changed;
    }
    ++state.consecutiveFailures;
    if (state.quarantined) {
        if (wasProbe) {
            state.backoff = std::min(state.backoff * 2, MAX_BACKOFF);
            state.probeAt = now + state.backoff;
        }
        return false;
    }
    if (state.consecutiveFailures < FAILURE_THRESHOLD || (quarantinedCount_ + 1) * MAX_QUARANTINED_DIVISOR > states_.size()) {
        return false;
    }
    state.quarantined = true;
    state.backoff = INITIAL_BACKOFF;
    state.probeAt = now + state.backoff;
    ++quarantinedCount_;
    return true;
}

bool Quarantine::isUsable(Incarnation agent, Instant now) const
{
    const auto found = states_.find(agent);
    if (found == states_.end()) {
        return false;
    }
    const State &state = found->second;
    return !state.quarantined || (!state.probing && now >= state.probeAt);
}

void Quarantine::onGrant(Incarnation agent)
{
    const auto found = states_.find(agent);
    if (found != states_.end() && found->second.quarantined) {
        found->second.probing = true;
    }
}

}
