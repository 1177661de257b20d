/** @file random.h Random numbers from the system. */

#pragma once

#include "core/ids_type.h"

#include <cstdint>

namespace medlarmill
{

/** @return 64 bits from the system's random source. */
std::uint64_t systemRandom();

/** @return a new incarnation for this process. */
Incarnation newIncarnation();

/** @return wall clock in milliseconds since 1970. */
std::uint64_t unixMs();

}
