/** @file entry_selection.cpp Choice of the entries that an agent links to. */

#include "repeatable/entry_selection.h"

#include "core/hash_func.h"

#include <algorithm>

namespace medlarmill
{

namespace
{

constexpr Duration CONNECT_ALLOWANCE = Millis(500); ///< An entry without a link for so long counts as unreachable.
constexpr Duration FORGET_AFTER = Millis(600'000); ///< See EntrySelection::add().
constexpr Duration DIAL_WIDENING_INTERVAL = Millis(1'000); ///< Without any link, `size` further entries are dialed after each interval.

}

EntrySelection::EntrySelection(std::string agent, std::size_t size)
    : agent_(std::move(agent))
    , size_(size)
{ }

void EntrySelection::add(std::span<const std::string> addresses, Instant now)
{
    for (const std::string &address : addresses) {
        const auto known = ranks_.find(address);
        if (known != ranks_.end()) {
            candidates_.at(known->second).confirmedAt = now;
            continue;
        }
        std::uint64_t rank = stableHash(address, stableHash(agent_));
        while (candidates_.contains(rank)) {
            ++rank;
        }
        if (ranks_.empty()) {
            unlinkedSince_ = now;
        }
        ranks_[address] = rank;
        candidates_[rank] = {address, false, now, NEVER};
    }
}

void EntrySelection::remove(const std::string &address)
{
    const auto rank = ranks_.find(address);
    if (rank == ranks_.end()) {
        return;
    }
    linkCount_ -= candidates_.at(rank->second).linked ? 1 : 0;
    candidates_.erase(rank->second);
    ranks_.erase(rank);
}

void EntrySelection::setLinked(const std::string &address, bool linked, Instant now)
{
    add({&address, 1}, now);
    Candidate &candidate = candidates_.at(ranks_.at(address));
    if (candidate.linked == linked) {
        return;
    }
    candidate.linked = linked;
    candidate.confirmedAt = now;
    candidate.dialedSince = NEVER;
    linkCount_ = linked ? linkCount_ + 1 : linkCount_ - 1;
    if (linkCount_ == 0) {
        unlinkedSince_ = now;
    }
}

std::size_t EntrySelection::dialLimit(Instant now) const
{
    const std::size_t widenings = linkCount_ > 0 ? 0 : static_cast<std::size_t>((now - unlinkedSince_) / DIAL_WIDENING_INTERVAL);
    return size_ * (widenings + 1);
}

void EntrySelection::forgetOld(Instant now)
{
    std::vector<std::string> old;
    for (const auto &[rank, candidate] : candidates_) {
        if (!candidate.linked && candidate.confirmedAt + FORGET_AFTER < now) {
            old.push_back(candidate.address);
        }
    }
    for (const std::string &address : old) {
        remove(address);
    }
}

EntryChoice EntrySelection::choose(Instant now)
{
    forgetOld(now);
    EntryChoice choice;
    std::vector<std::string> surplus;
    std::size_t wanted = 0;
    std::size_t established = 0;
    std::size_t unreachable = 0;
    for (auto &[rank, candidate] : candidates_) {
        const bool isWanted = wanted < size_;
        if (candidate.linked) {
            choice.dialed.push_back(candidate.address);
            wanted += isWanted ? 1 : 0;
            established += isWanted ? 1 : 0;
            if (!isWanted) {
                surplus.push_back(candidate.address);
            }
            continue;
        }
        const bool isUnreachable = candidate.dialedSince != NEVER && candidate.dialedSince + CONNECT_ALLOWANCE <= now;
        if (!isWanted || (isUnreachable && unreachable >= dialLimit(now))) {
            candidate.dialedSince = NEVER;
            continue;
        }
        candidate.dialedSince = std::min(candidate.dialedSince, now);
        choice.dialed.push_back(candidate.address);
        (isUnreachable ? unreachable : wanted) += 1;
    }
    if (established >= size_) {
        choice.released = std::move(surplus);
    }
    return choice;
}

}
