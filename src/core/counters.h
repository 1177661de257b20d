/** @file counters.h Named event counters of the decision code. */

#pragma once

#include "core/name_map_type.h"
#include "core/reason_type.h"

#include <absl/container/btree_map.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace medlarmill
{

/** Counts events by name and reason; owned by one thread. */
class Counters
{
public:
    /** Adds to a counter. @param name the event. @param amount how many. */
    void add(std::string_view name, std::uint64_t amount = 1);

    /** Adds one to the counter of an event with a reason. @param name the event. @param reason why. */
    void add(std::string_view name, Reason reason);

    /** @param name the full name of a counter. @return its value, 0 when it was never counted. */
    std::uint64_t value(std::string_view name) const;

    /** @return all counters by name, with the reason as `name{reason="code"}`. */
    const NameMap<std::uint64_t> &all() const
    {
        return values_;
    }

private:
    NameMap<std::uint64_t> values_;
};

}
