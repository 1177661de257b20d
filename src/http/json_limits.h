/** @file json_limits.h Checks a JSON text against limits before a document is built from it. */

#pragma once

#include <absl/status/status.h>
#include <cstddef>
#include <string_view>

namespace medlarmill
{

/** Limits of a JSON text. */
struct JsonLimits
{
    std::size_t maxBytes = 262'144; ///< Bytes of the text.
    std::size_t maxValues = 32'768; ///< Values, objects and arrays included. A document takes up to 100 bytes for each.
    std::size_t maxDepth = 64; ///< Nested objects and arrays.
};

/** Reads a text without keeping it, and stops at the first value beyond a limit. @param text the text. @param limits the limits. @return
 * OK for a valid text within them; ResourceExhausted names the limit that is exceeded, InvalidArgument is for text that is no JSON. */
absl::Status checkJson(std::string_view text, const JsonLimits &limits);

}
