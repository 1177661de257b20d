/** @file hash_func.h Stable hashes: the same value on every host and release. */

#pragma once

#include "core/ids_type.h"

#include <cstdint>
#include <string_view>

namespace medlarmill
{

/** Stable 64-bit hash. @param data the bytes. @param seed separates uses. @return the hash. */
std::uint64_t stableHash(std::string_view data, std::uint64_t seed = 0);

/**
 * Weight of an entry for a submission in rendezvous hashing; the highest weight is the home.
 * @param id the submission. @param entry the entry incarnation. @return the weight.
 */
std::uint64_t homeScore(std::string_view id, Incarnation entry);

/**
 * Mints a submission id that names its home.
 * @param home the minting entry. @param random 64 random bits. @return the id.
 */
SubmissionId mintSubmissionId(Incarnation home, std::uint64_t random);

/** Reads the home out of a minted id. @param id any id. @return the minting entry, or INVALID_INCARNATION for a caller's own id. */
Incarnation mintedHome(std::string_view id);

/** Checks the characters and length of an id. @param id the id. @return whether a caller may use it. */
bool isValidSubmissionId(std::string_view id);

}
