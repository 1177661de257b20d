/** @file config_exchange.cpp How entries that share a table learn from each other that a configuration is newer, and who is asked for it.
 */

#include "config/config_exchange.h"

#include <algorithm>

namespace medlarmill
{

namespace
{

constexpr Duration TABLE_TIME = Millis(150); ///< Time in which the table delivers a version that a peer has; then a peer is asked.
constexpr Duration ANSWER_TIME = Millis(300); ///< Time for the answer of a peer before another one is asked.
constexpr std::size_t MAX_ANNOUNCEMENTS = 64; ///< Versions whose first announcement is remembered; the oldest ones decide.

}

void ConfigExchange::onOwnVersion(std::uint64_t version)
{
    ownVersion_ = version;
    while (!newer_.empty() && newer_.front().version <= version) {
        newer_.pop_front();
    }
    nextAskAt_ = Instant::min();
}

void ConfigExchange::onPeerVersion(Incarnation peer, std::uint64_t version, Instant now)
{
    peers_[peer].version = version;
    const std::uint64_t newest = newer_.empty() ? ownVersion_ : newer_.back().version;
    if (version > newest && newer_.size() < MAX_ANNOUNCEMENTS) {
        newer_.push_back({version, now});
    }
}

void ConfigExchange::onPeerDown(Incarnation peer)
{
    peers_.erase(peer);
    while (!newer_.empty() && newer_.back().version > newestKnown()) {
        newer_.pop_back();
    }
}

std::optional<Incarnation> ConfigExchange::takePeerToAsk(Instant now)
{
    if (newer_.empty() || now < nextAskAt_) {
        return std::nullopt;
    }
    // Without any configuration nobody can be served, so the table is not waited for.
    if (ownVersion_ != 0 && behindFor(now) < TABLE_TIME) {
        return std::nullopt;
    }
    auto chosen = peers_.end();
    for (auto peer = peers_.begin(); peer != peers_.end(); ++peer) {
        if (peer->second.version < newer_.front().version) {
            continue;
        }
        if (chosen == peers_.end() || peer->second.askedAt < chosen->second.askedAt) {
            chosen = peer;
        }
    }
    if (chosen == peers_.end()) {
        return std::nullopt;
    }
    chosen->second.askedAt = now;
    nextAskAt_ = now + ANSWER_TIME;
    return chosen->first;
}

Duration ConfigExchange::behindFor(Instant now) const
{
    return newer_.empty() ? Duration(0) : now - newer_.front().heardAt;
}

std::uint64_t ConfigExchange::newestKnown() const
{
    std::uint64_t newest = ownVersion_;
    for (const auto &[incarnation, peer] : peers_) {
        newest = std::max(newest, peer.version);
    }
    return newest;
}

}
