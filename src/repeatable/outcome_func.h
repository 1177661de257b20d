/** @file outcome_func.h Names of run outcomes for log lines. */

#pragma once

#include "wire/generated/repeat.pb.h"

#include <string_view>

namespace medlarmill
{

/** @param outcome the outcome of a run. @return its name in log lines. */
constexpr std::string_view outcomeName(repeat::RunOutcome outcome)
{
    switch (outcome) {
    case repeat::RUN_HELD:
        return "held";
    case repeat::RUN_DONE:
        return "done";
    case repeat::RUN_FAILED:
        return "failed";
    case repeat::RUN_NOT_STARTED:
        return "not_started";
    case repeat::RUN_LOST:
        return "lost";
    default:
        return "unknown";
    }
}

}
