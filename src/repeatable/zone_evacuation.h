/** @file zone_evacuation.h Availability zones that operators have evacuated, and how entries pass them on. */

#pragma once

#include "core/time_type.h"
#include "repeatable/event_log.h"
#include "repeatable/repeatable_job_output.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarmill
{

/** Names of availability zones. */
using ZoneNames = absl::btree_set<std::string>;

/** Zones that a newer state evacuates or returns to service. */
struct ZoneChange
{
    std::vector<std::string> evacuated; ///< Evacuated by the newer state.
    std::vector<std::string> returned; ///< No longer evacuated.

    /** @return whether any zone changed. */
    bool any() const
    {
        return !evacuated.empty() || !returned.empty();
    }
};

/** What a read of the table service says about evacuated zones. */
struct ZoneRead
{
    std::uint64_t version = 0; ///< Version of the table service at the read.
    bool isWhole = false; ///< `present` is the whole set; otherwise the read gives changes or a part.
    ZoneNames present; ///< Zones with a row.
    ZoneNames removed; ///< Zones whose row was removed; empty for a whole set.
};

/**
 * The evacuated zones as one process knows them, with the version of the table service at which they were read. States may arrive from
 * several sources and in any order: a state replaces the known one only if its version is higher. Names of unknown zones are kept.
 */
class ZoneEvacuation
{
public:
    /** Merges a read of the table service. @param read the read. @param now current time. @return the zones that changed. */
    ZoneChange merge(const ZoneRead &read, Instant now);

    /** Merges the state of another process. @param state the state. @param now current time. @return the zones that changed. */
    ZoneChange merge(const repeat::ZoneState &state, Instant now);

    /** @param zone name of a zone. @return whether it is evacuated. */
    bool isEvacuated(const std::string &zone) const
    {
        return since_.contains(zone);
    }

    /** @return the evacuated zones, and when this process learned of each. */
    const absl::btree_map<std::string, Instant> &evacuatedSince() const
    {
        return since_;
    }

    /** @return version of the table service at which the zones were read; 0 when they never were. */
    std::uint64_t version() const
    {
        return version_;
    }

    /** @return whether the state covers all zones, so that it may replace that of another process. A state that began with a part of the
     * table does not. */
    bool isWhole() const
    {
        return isWhole_;
    }

    /** @return the state, for another process. */
    repeat::ZoneState state() const;

private:
    ZoneChange replace(std::uint64_t version, const ZoneNames &zones, Instant now);

    std::uint64_t version_ = 0;
    bool isWhole_ = false;
    absl::btree_map<std::string, Instant> since_;
};

/**
 * Passes the evacuated zones of an entry on to its peers, entries and agents: on each new link, and to all when the set changes, whatever
 * the source. So an entry that does not reach the table learns them from any entry that does.
 */
class ZoneExchange
{
public:
    using OnChange = std::function<void()>; ///< The set of evacuated zones changed.

    /** @param links sends to peers. @param log receives changes. @param onChange is called for each change, before peers are told. The
     * first two must outlive the exchange. */
    ZoneExchange(LinkOutput &links, EventLog &log, OnChange onChange);

    /** A link is up; the peer is told before anything else is sent to it. @param peer the peer. */
    void onLinkUp(Incarnation peer);

    /** A link is down. @param peer the peer. */
    void onLinkDown(Incarnation peer);

    /** The table service was read. @param read what it said. @param now current time. */
    void onRead(const ZoneRead &read, Instant now);

    /** A peer told its state. @param state the state. @param now current time. */
    void onPeerState(const repeat::ZoneState &state, Instant now);

    /** @return the zones. */
    const ZoneEvacuation &zones() const
    {
        return zones_;
    }

private:
    void onChange(const ZoneChange &change, std::string_view source);
    void tell(Incarnation peer);

    LinkOutput &links_;
    EventLog &log_;
    OnChange onChange_;
    ZoneEvacuation zones_;
    absl::btree_set<Incarnation> peers_;
};

/** @param zone name of a zone, from the table. @return the name for logs and metrics, with unusual characters as `%XX`. */
std::string printableZone(std::string_view zone);

}
