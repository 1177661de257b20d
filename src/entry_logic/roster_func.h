/** @file roster_func.h Pure functions on the entry roster. */

#pragma once

#include "core/ids_type.h"
#include "wire/generated/medlarmill.pb.h"

#include <optional>
#include <string_view>

namespace medlarmill
{

/** @param roster the roster. @param entry an incarnation. @return its row, or nullptr when it is no member. */
const wire::RosterMember *findMember(const wire::Roster &roster, Incarnation entry);

/** @param roster the roster. @param entry an incarnation. @return whether it was removed within the retention window. */
bool isRemoved(const wire::Roster &roster, Incarnation entry);

/** Home of a submission by rendezvous hashing over the members that do not leave. @param roster the roster. @param id the submission.
 * @return the home, or INVALID_INCARNATION when no member can be home. */
Incarnation rendezvousHome(const wire::Roster &roster, std::string_view id);

/**
 * Roster with a member added; an earlier incarnation of the same name is removed.
 * @param roster the present roster. @param member the new member. @param unixMs wall clock, for pruning. @param retentionMs how long
 * removals are kept.
 * @return the next version.
 */
wire::Roster withMember(const wire::Roster &roster, const wire::RosterMember &member, std::uint64_t unixMs, std::uint64_t retentionMs);

/** Roster without a member. @param roster the present roster. @param entry the member to remove. @param unixMs wall clock. @param
 * retentionMs how long removals are kept. @return the next version. */
wire::Roster withoutMember(const wire::Roster &roster, Incarnation entry, std::uint64_t unixMs, std::uint64_t retentionMs);

/** Roster with a member marked as leaving. @param roster the present roster. @param entry the member. @return the next version. */
wire::Roster withMemberLeaving(const wire::Roster &roster, Incarnation entry);

}
