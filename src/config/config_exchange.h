/** @file config_exchange.h How entries that share a table learn from each other that a configuration is newer, and who is asked for it. */

#pragma once

#include "core/ids_type.h"
#include "core/time_type.h"

#include <absl/container/btree_map.h>
#include <cstdint>
#include <deque>
#include <optional>

namespace medlarmill
{

/**
 * Decides from which peer an entry fetches a newer configuration. Peers announce versions, repeatedly, and send a document only when asked:
 * the table has usually delivered it before. So the documents that cross between entries do not grow with their number, and a lost message
 * is made up for by the next announcement.
 */
class ConfigExchange
{
public:
    /** A version came into force here. @param version the version. */
    void onOwnVersion(std::uint64_t version);

    /** A peer announced its version. @param peer the peer. @param version its version; 0 for none. @param now current time. */
    void onPeerVersion(Incarnation peer, std::uint64_t version, Instant now);

    /** The link to a peer is down. @param peer the peer. */
    void onPeerDown(Incarnation peer);

    /** Chooses a peer to be asked now for its document and records that it is asked. @param now current time. @return the peer; nullopt
     * while nothing newer is known, the table still has time to deliver it, or a peer that was asked still has time to answer. */
    std::optional<Incarnation> takePeerToAsk(Instant now);

    /** @param now current time. @return since how long a peer is known to have a newer version; 0 when none has. */
    Duration behindFor(Instant now) const;

    /** @return the newest version known here or at a peer. */
    std::uint64_t newestKnown() const;

private:
    struct Peer
    {
        std::uint64_t version = 0; ///< Version that it announced last.
        Instant askedAt = Instant::min(); ///< When it was asked last.
    };

    struct Announcement
    {
        std::uint64_t version = 0;
        Instant heardAt; ///< When a peer announced this version or a newer one first.
    };

    std::uint64_t ownVersion_ = 0;
    absl::btree_map<Incarnation, Peer> peers_;
    std::deque<Announcement> newer_; ///< Announced versions above the own one, ascending.
    Instant nextAskAt_ = Instant::min(); ///< Until then a peer that was asked has time to answer.
};

}
