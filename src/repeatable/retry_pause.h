/** @file retry_pause.h Pause between the tries of a call that fails. */

#pragma once

#include "core/time_type.h"

#include <algorithm>

namespace medlarmill
{

/** Pauses that double from one failure in a row to the next, up to a limit. */
class RetryPause
{
public:
    /** @param first pause after the first failure. @param longest longest pause. */
    RetryPause(Duration first, Duration longest)
        : first_(first)
        , longest_(longest)
    { }

    /** A try failed. @return the pause until the next one. */
    Duration onFailure()
    {
        last_ = std::clamp(last_ * 2, first_, longest_);
        return last_;
    }

    /** A try succeeded. */
    void reset()
    {
        last_ = Duration(0);
    }

private:
    Duration first_;
    Duration longest_;
    Duration last_{0};
};

}
