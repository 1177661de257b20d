/** @file hash_func.cpp Stable hashes by xxHash. */

#include "core/hash_func.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <xxhash.h>

namespace medlarmill
{

namespace
{

constexpr std::string_view MINTED_PREFIX = "mm-"; ///< First characters of a minted id.
constexpr int HEX_BASE = 16; ///< Base of the digits.
constexpr std::size_t HEX_DIGITS = 16; ///< Digits of a 64-bit number.
constexpr std::size_t MINTED_LENGTH = MINTED_PREFIX.size() + HEX_DIGITS + 1 + HEX_DIGITS; ///< Length of a minted id.

bool isIdCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' || c == ':';
}

}

std::uint64_t stableHash(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::uint64_t homeScore(std::string_view id, Incarnation entry)
{
    return stableHash(id, toWire(entry));
}

SubmissionId mintSubmissionId(Incarnation home, std::uint64_t random)
{
    return fmt::format("{}{:016x}-{:016x}", MINTED_PREFIX, toWire(home), random);
}

Incarnation mintedHome(std::string_view id)
{
    if (id.size() != MINTED_LENGTH || !id.starts_with(MINTED_PREFIX)) {
        return INVALID_INCARNATION;
    }
    std::uint64_t value = 0;
    const std::string_view digits = id.substr(MINTED_PREFIX.size(), HEX_DIGITS);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), value, HEX_BASE);
    const bool isWhole = parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size();
    return isWhole ? toIncarnation(value) : INVALID_INCARNATION;
}

bool isValidSubmissionId(std::string_view id)
{
    return !id.empty() && id.size() <= MAX_SUBMISSION_ID_BYTES && std::ranges::all_of(id, isIdCharacter);
}

}
