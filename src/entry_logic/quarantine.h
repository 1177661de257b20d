/** @file quarantine.h Takes endpoints that fail everything out of use and tries them again carefully. */

#pragma once

#include "core/ids_type.h"
#include "core/time_type.h"

#include <absl/container/btree_map.h>
#include <cstdint>

namespace medlarmill
{

/**
 * Circuit breaker per endpoint. After several failures in a row an endpoint gets no work; one task at a time tries it again after a
 * pause that doubles. At most a third of the endpoints is out at once, so that a fault of the work itself cannot stop the service.
 */
class Quarantine
{
public:
    /** An endpoint joined. @param agent the endpoint's agent. */
    void add(Incarnation agent);

    /** An endpoint is gone. @param agent the endpoint's agent. */
    void remove(Incarnation agent);

    /** A task ended there. @param agent the endpoint's agent. @param success whether it completed. @param now the present. @return whether
     * the endpoint was taken out or let in again by this outcome. */
    bool onTaskOutcome(Incarnation agent, bool success, Instant now);

    /** @param agent the endpoint's agent. @param now the present. @return whether it may be given a task. */
    bool isUsable(Incarnation agent, Instant now) const;

    /** A task was given to the endpoint. @param agent the endpoint's agent. */
    void onGrant(Incarnation agent);

    /** @return endpoints that are out now. */
    std::size_t quarantinedCount() const
    {
        return quarantinedCount_;
    }

private:
    struct State
    {
        std::uint32_t consecutiveFailures = 0; ///< Failures since the last success.
        bool quarantined = false; ///< Taken out.
        bool probing = false; ///< The one trial task is running.
        Instant probeAt; ///< When the next trial may start.
        Duration backoff{0}; ///< Length of the present pause.
    };

    absl::btree_map<Incarnation, State> states_;
    std::size_t quarantinedCount_ = 0;
};

}
