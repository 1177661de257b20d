/** @file roster_func.cpp Functions on the entry roster. */

#include "entry_logic/roster_func.h"

#include "core/hash_func.h"

namespace medlarmill
{

namespace
{

wire::Roster nextVersion(const wire::Roster &roster, std::uint64_t unixMs, std::uint64_t retentionMs)
{
    wire::Roster next;
    next.set_version(roster.version() + 1);
    for (const wire::RemovedMember &removed : roster.removed()) {
        if (removed.removed_unix_ms() + retentionMs < unixMs) {
            continue;
        }
        *next.add_removed() = removed;
    }
    return next;
}

void addRemoved(wire::Roster &roster, std::uint64_t incarnation, std::uint64_t unixMs)
{
    wire::RemovedMember *removed = roster.add_removed();
    removed->set_incarnation(incarnation);
    removed->set_removed_unix_ms(unixMs);
}

}

const wire::RosterMember *findMember(const wire::Roster &roster, Incarnation entry)
{
    for (const wire::RosterMember &member : roster.members()) {
        if (member.incarnation() == toWire(entry)) {
            return &member;
        }
    }
    return nullptr;
}

bool isRemoved(const wire::Roster &roster, Incarnation entry)
{
    for (const wire::RemovedMember &removed : roster.removed()) {
        if (removed.incarnation() == toWire(entry)) {
            return true;
        }
    }
    return false;
}

Incarnation rendezvousHome(const wire::Roster &roster, std::string_view id)
{
    Incarnation best = INVALID_INCARNATION;
    std::uint64_t bestScore = 0;
    for (const wire::RosterMember &member : roster.members()) {
        if (member.leaving()) {
            continue;
        }
        const Incarnation candidate = toIncarnation(member.incarnation());
        const std::uint64_t score = homeScore(id, candidate);
        if (best == INVALID_INCARNATION || score > bestScore) {
            best = candidate;
            bestScore = score;
        }
    }
    return best;
}

wire::Roster withMember(const wire::Roster &roster, const wire::RosterMember &member, std::uint64_t unixMs, std::uint64_t retentionMs)
{
    wire::Roster next = nextVersion(roster, unixMs, retentionMs);
    for (const wire::RosterMember &existing : roster.members()) {
        if (existing.name() == member.name()) {
            addRemoved(next, existing.incarnation(), unixMs);
            continue;
        }
        *next.add_members() = existing;
    }
    *next.add_members() = member;
    return next;
}

wire::Roster withoutMember(const wire::Roster &roster, Incarnation entry, std::uint64_t unixMs, std::uint64_t retentionMs)
{
    wire::Roster next = nextVersion(roster, unixMs, retentionMs);
    for (const wire::RosterMember &existing : roster.members()) {
        if (existing.incarnation() == toWire(entry)) {
            addRemoved(next, existing.incarnation(), unixMs);
            continue;
        }
        *next.add_members() = existing;
    }
    return next;
}

wire::Roster withMemberLeaving(const wire::Roster &roster, Incarnation entry)
{
    wire::Roster next = roster;
    next.set_version(roster.version() + 1);
    for (wire::RosterMember &member : *next.mutable_members()) {
        if (member.incarnation() == toWire(entry)) {
            member.set_leaving(true);
        }
    }
    return next;
}

}
