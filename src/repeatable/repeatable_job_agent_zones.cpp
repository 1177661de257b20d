/** @file repeatable_job_agent_zones.cpp Agent state machine for repeatable jobs: evacuation of its availability zone. */

#include "repeatable/repeatable_job_agent.h"

#include <fmt/format.h>

namespace medlarmill
{

void RepeatableJobAgent::onZoneState(const repeat::ZoneState &state, Instant now)
{
    const bool wasEvacuated = isEvacuated();
    zones_.merge(state, now);
    if (isEvacuated() == wasEvacuated) {
        return;
    }
    const std::size_t queued = queue_.size();
    if (isEvacuated()) {
        handBackQueued(Reason::Evacuated);
    }
    log_.state(fmt::format("event={} zone={} version={} source=peer returned={} runs_left={}",
                           isEvacuated() ? "zone_evacuated" : "zone_returned", printableZone(settings_.zone), zones_.version(),
                           queued - queue_.size(), runs_.size()));
    markDirty();
}

bool RepeatableJobAgent::isEntrySilent(Incarnation entry, Instant now) const
{
    const auto found = entries_.find(entry);
    return found == entries_.end() || found->second.newestStampAt + settings_.entrySilence < now;
}

}
