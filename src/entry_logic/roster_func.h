/** @file roster_func.h Functions on the entry roster, without side effects. */

#pragma once

#include "core/ids_type.h"
#include "wire/generated/medlarmill.pb.h"

#include <optional>
#include <string_view>

namespace medlarmill
{

/** @return the roster row of an entry, or nullptr when it is not a member. */
const wire::RosterMember *findMember(const wire::Roster &roster, Incarnation entry);

/** @return whether an entry was removed from the roster within the retention time. */
bool isRemoved(const wire::Roster &roster, Incarnation entry);

/** Chooses the home of a submission by rendezvous hashing over the members that are not leaving. @return the home, or INVALID_INCARNATION
 * when there is no such member. */
Incarnation rendezvousHome(const wire::Roster &roster, std::string_view id);

/**
 * Adds a member to a roster and removes an earlier incarnation with the same name.
 * @param unixMs wall clock time, to expire entries of the list of removed members. @param retentionMs how long these entries are kept.
 * @return the next version of the roster.
 */
wire::Roster withMember(const wire::Roster &roster, const wire::RosterMember &member, std::uint64_t unixMs, std::uint64_t retentionMs);

/** Removes a member from a roster. @param unixMs as in withMember(). @param retentionMs as in withMember(). @return the next version of the
 * roster. */
wire::Roster withoutMember(const wire::Roster &roster, Incarnation entry, std::uint64_t unixMs, std::uint64_t retentionMs);

/** Marks a member of a roster as leaving. @return the next version of the roster. */
wire::Roster withMemberLeaving(const wire::Roster &roster, Incarnation entry);

}
