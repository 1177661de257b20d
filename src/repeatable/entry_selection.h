/** @file entry_selection.h Choice of the entries that an agent links to. */

#pragma once

#include "core/time_type.h"

#include <absl/container/btree_map.h>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace medlarmill
{

/** Entries of an agent, as EntrySelection chooses them. */
struct EntryChoice
{
    std::vector<std::string> dialed; ///< Addresses to which a link is open or to be opened.
    std::vector<std::string> released; ///< Linked addresses whose links are to be closed once they are idle.
};

/**
 * Chooses a bounded number of entries for an agent by rendezvous hashing, so that links, load reports and memory of a process do not grow
 * with the deployment. Entries in excess of the bound only stand in for preferred ones that do not answer. When an entry joins or leaves,
 * only the agents that prefer it change a link.
 */
class EntrySelection
{
public:
    /** @param agent name of the agent; kept across restarts. @param size number of entries to link to. */
    EntrySelection(std::string agent, std::size_t size);

    /** Adds entries and confirms known ones. An entry without a link that nobody confirms is forgotten after ten minutes. @param addresses
     * their addresses. @param now current time. */
    void add(std::span<const std::string> addresses, Instant now);

    /** Removes an entry that no longer exists. @param address its address. */
    void remove(const std::string &address);

    /** Records that a link came up or went down; unknown addresses are added. @param address the entry. @param linked whether its link is
     * up. @param now current time. */
    void setLinked(const std::string &address, bool linked, Instant now);

    /** @param now current time. @return entries to dial and links to give up. Links are given up only when the preferred ones are up. */
    EntryChoice choose(Instant now);

    /** @return number of known entries. */
    std::size_t knownCount() const
    {
        return ranks_.size();
    }

private:
    struct Candidate
    {
        std::string address;
        bool linked = false;
        Instant confirmedAt; ///< When it was last named as an entry, or its link was last up.
        Instant dialedSince = NEVER; ///< Since when it has been dialed without a link; NEVER while it is linked or not dialed.
    };

    void forgetOld(Instant now);
    std::size_t dialLimit(Instant now) const;

    std::string agent_;
    std::size_t size_;
    absl::btree_map<std::uint64_t, Candidate> candidates_; ///< By rendezvous hash; smaller ones are preferred.
    absl::btree_map<std::string, std::uint64_t, std::less<>> ranks_; ///< Hash of each address.
    std::size_t linkCount_ = 0;
    Instant unlinkedSince_; ///< Since when there has been no link at all.
};

}
