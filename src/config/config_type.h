/** @file config_type.h The operators' configuration as the processes use it. */

#pragma once

#include "core/ids_type.h"
#include "core/name_map_type.h"
#include "core/time_type.h"

#include <absl/container/btree_map.h>
#include <cstdint>
#include <string>

namespace medlarmill
{

/** One request kind of a service. */
struct KindConfig
{
    Millis deadline{10'000}; ///< Deadline of a job that names none.
    bool idempotent = false; ///< Whether callers may treat the kind as idempotent when they do not say.

    bool operator==(const KindConfig &) const = default;
};

/** One service: a pool of endpoints that runs short requests. */
struct ServiceConfig
{
    std::string team; ///< Team that pays for the work.
    NameMap<KindConfig> kinds; ///< Request kinds by name.
    std::uint32_t queueLimit = 20'000; ///< Tasks that may wait at one entry.
    std::uint32_t concurrencyLimit = 0; ///< Tasks that may run at once over all entries; 0 means no limit.
    std::uint32_t grantRetries = 8; ///< Grants of one task that may be refused before the job fails.
    std::uint32_t longAfterMs = 2'000; ///< Tasks expected or seen to run longer count as long.
    Millis drainTime{10'000}; ///< How long a planned stop may wait for running tasks.

    bool operator==(const ServiceConfig &) const = default;
};

/** One team and its quota. */
struct TeamConfig
{
    std::uint32_t weight = 1; ///< Share of a contended service relative to other teams.
    std::uint32_t maxWaiting = 50'000; ///< Tasks of the team that may wait at one entry.

    bool operator==(const TeamConfig &) const = default;
};

/** The whole configuration at one version. */
struct Config
{
    ConfigVersion version = INVALID_CONFIG_VERSION; ///< Grows with every accepted change.
    NameMap<ServiceConfig> services; ///< Services by name.
    NameMap<TeamConfig> teams; ///< Teams by name.
};

}
