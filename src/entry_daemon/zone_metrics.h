/** @file zone_metrics.h Evacuated availability zones on the metrics page of entries and agents. */

#pragma once

#include "repeatable/zone_evacuation.h"

#include <functional>
#include <string>
#include <string_view>

namespace medlarmill
{

/** Writes the number of evacuated zones, the version, and for each zone since when it is known and how many runs are left there.
 * @param role begins the metrics' names. @param zones the zones. @param runsLeft gives the number of runs left in a zone. @param now
 * current time. @param text receives the lines. */
void writeZoneGauges(std::string_view role, const ZoneEvacuation &zones, const std::function<std::size_t(const std::string &)> &runsLeft,
                     Instant now, std::string &text);

}
