/** @file repeatable_job_agent_cancel.cpp Agent state machine for repeatable jobs: cancelled jobs. */

#include "repeatable/repeatable_job_agent.h"

#include <fmt/format.h>
#include <vector>

namespace medlarmill
{

void RepeatableJobAgent::onJobCancel(Incarnation entry, const repeat::JobCancel &message, Instant now)
{
    const SubmissionId &id = message.submission();
    const std::uint64_t dropped = cancelled_.dropped();
    cancelled_.add(id, Millis(message.keep_ms()), now);
    counters_.add("agent_cancelled_jobs_dropped", cancelled_.dropped() - dropped);
    counters_.add("agent_cancels_received");
    std::vector<RunKey> keys;
    for (auto run = runsByName_.lower_bound({id, 0, 0, 0}); run != runsByName_.end() && run->first.submission == id; ++run) {
        keys.push_back(run->second);
    }
    log_.info(
        fmt::format("event=job_cancelled id={} entry={:016x} runs={} remembered={}", id, toWire(entry), keys.size(), cancelled_.size()));
    for (const RunKey &key : keys) {
        const auto run = runs_.find(key);
        if (run != runs_.end()) {
            stop(key, run->second, Reason::Cancelled, now);
        }
    }
    startQueued(now);
}

}
