/** @file zone_metrics.cpp Evacuated availability zones on the metrics page of entries and agents. */

#include "entry_daemon/zone_metrics.h"

#include "daemon/metrics.h"

#include <fmt/format.h>

namespace medlarmill
{

void writeZoneGauges(std::string_view role, const ZoneEvacuation &zones, const std::function<std::size_t(const std::string &)> &runsLeft,
                     Instant now, std::string &text)
{
    writeGauge(fmt::format("{}_zones_evacuated", role), static_cast<double>(zones.evacuatedSince().size()), text);
    writeGauge(fmt::format("{}_zones_version", role), static_cast<double>(zones.version()), text);
    for (const auto &[zone, since] : zones.evacuatedSince()) {
        const std::string label = printableZone(zone);
        writeGauge(fmt::format("{}_zone_evacuated_ms{{zone=\"{}\"}}", role, label), static_cast<double>(toMillis(now - since)), text);
        writeGauge(fmt::format("{}_zone_runs_left{{zone=\"{}\"}}", role, label), static_cast<double>(runsLeft(zone)), text);
    }
}

}
