/** @file reason_table.h Names and remedies of the reasons. */

#pragma once

#include "core/reason_type.h"

#include <span>
#include <string_view>

namespace medlarmill
{

/** One row of the reason table. */
struct ReasonInfo
{
    Reason reason; ///< The reason.
    std::string_view code; ///< Stable code in documents and counters.
    std::string_view remedy; ///< What the reader can do.
};

/** @return every reason with its code and remedy. */
std::span<const ReasonInfo> reasonTable();

/** Looks a reason up. @param reason the reason. @return its row, or the row of Reason::None when the number is unknown. */
const ReasonInfo &reasonInfo(Reason reason);

}
