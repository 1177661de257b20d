/** @file zone_evacuation.cpp Availability zones that operators have evacuated, and how entries pass them on. */

#include "repeatable/zone_evacuation.h"

#include <algorithm>
#include <fmt/format.h>

namespace medlarmill
{

ZoneChange ZoneEvacuation::merge(const ZoneRead &read, Instant now)
{
    if (read.version <= version_) {
        return {};
    }
    isWhole_ = isWhole_ || read.isWhole;
    if (read.isWhole) {
        return replace(read.version, read.present, now);
    }
    // Changes since an older read than the known state are applied on top of it: the last change of each zone decides.
    ZoneNames zones = read.present;
    for (const auto &[zone, at] : since_) {
        if (!read.removed.contains(zone)) {
            zones.insert(zone);
        }
    }
    return replace(read.version, zones, now);
}

ZoneChange ZoneEvacuation::merge(const repeat::ZoneState &state, Instant now)
{
    return merge(ZoneRead{state.version(), true, {state.evacuated().begin(), state.evacuated().end()}, {}}, now);
}

repeat::ZoneState ZoneEvacuation::state() const
{
    repeat::ZoneState state;
    state.set_version(version_);
    for (const auto &[zone, at] : since_) {
        state.add_evacuated(zone);
    }
    return state;
}

ZoneChange ZoneEvacuation::replace(std::uint64_t version, const ZoneNames &zones, Instant now)
{
    version_ = version;
    ZoneChange change;
    for (const auto &[zone, at] : since_) {
        if (!zones.contains(zone)) {
            change.returned.push_back(zone);
        }
    }
    for (const std::string &zone : change.returned) {
        since_.erase(zone);
    }
    for (const std::string &zone : zones) {
        if (since_.emplace(zone, now).second) {
            change.evacuated.push_back(zone);
        }
    }
    return change;
}

ZoneExchange::ZoneExchange(LinkOutput &links, EventLog &log, OnChange onChange)
    : links_(links)
    , log_(log)
    , onChange_(std::move(onChange))
{ }

void ZoneExchange::onLinkUp(Incarnation peer)
{
    peers_.insert(peer);
    tell(peer);
}

void ZoneExchange::onLinkDown(Incarnation peer)
{
    peers_.erase(peer);
}

void ZoneExchange::onRead(const ZoneRead &read, Instant now)
{
    onChange(zones_.merge(read, now), "table");
}

void ZoneExchange::onPeerState(const repeat::ZoneState &state, Instant now)
{
    onChange(zones_.merge(state, now), "peer");
}

void ZoneExchange::onChange(const ZoneChange &change, std::string_view source)
{
    if (!change.any()) {
        return;
    }
    for (const std::string &zone : change.evacuated) {
        log_.state(fmt::format("event=zone_evacuated zone={} version={} source={}", printableZone(zone), zones_.version(), source));
    }
    for (const std::string &zone : change.returned) {
        log_.state(fmt::format("event=zone_returned zone={} version={} source={}", printableZone(zone), zones_.version(), source));
    }
    onChange_();
    for (const Incarnation peer : peers_) {
        tell(peer);
    }
}

void ZoneExchange::tell(Incarnation peer)
{
    // A partial state would make the peer forget zones that this process has not read.
    if (!zones_.isWhole()) {
        return;
    }
    repeat::Message message;
    *message.mutable_zone_state() = zones_.state();
    links_.sendTo(peer, std::move(message));
}

std::string printableZone(std::string_view zone)
{
    std::string text;
    for (const char c : zone) {
        const auto byte = static_cast<unsigned char>(c);
        const bool usual = (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') || byte == '-'
            || byte == '_' || byte == '.';
        text += usual ? std::string(1, c) : fmt::format("%{:02X}", byte);
    }
    return text;
}

}
