/** @file quarantine.h Circuit breaker that stops sending tasks to failing endpoints. */

#pragma once

#include "core/ids_type.h"
#include "core/time_type.h"

#include <absl/container/btree_map.h>
#include <cstdint>

namespace medlarmill
{

/**
 * Circuit breaker per endpoint. After several consecutive failures an endpoint is quarantined: it gets no tasks except a single probe task
 * at a time, with exponential backoff between probes. At most a third of the endpoints is quarantined at once, so that tasks that fail on
 * every endpoint cannot stop the service.
 */
class Quarantine
{
public:
    /** Registers an endpoint. @param agent the endpoint's agent. */
    void add(Incarnation agent);

    /** Removes an endpoint and its state. @param agent the endpoint's agent. */
    void remove(Incarnation agent);

    /** Updates the state of an endpoint with the result of a task. @param agent the endpoint's agent. @param success whether the task
     * completed. @return whether the endpoint was quarantined or released. */
    bool onTaskOutcome(Incarnation agent, bool success, Instant now);

    /** @param agent the endpoint's agent. @return whether the endpoint may be given a task, possibly as a probe. */
    bool isUsable(Incarnation agent, Instant now) const;

    /** Notes that a task was granted; on a quarantined endpoint it is the probe. @param agent the endpoint's agent. */
    void onGrant(Incarnation agent);

    /** @return number of quarantined endpoints. */
    std::size_t quarantinedCount() const
    {
        return quarantinedCount_;
    }

private:
    struct State
    {
        std::uint32_t consecutiveFailures = 0; ///< Failures since the last success.
        bool quarantined = false;
        bool probing = false; ///< A probe task is running.
        Instant probeAt; ///< Time from which the next probe may start.
        Duration backoff{0}; ///< Current time between probes.
    };

    absl::btree_map<Incarnation, State> states_;
    std::size_t quarantinedCount_ = 0;
};

}
