/** @file counters.cpp Named event counters. */

#include "core/counters.h"

#include "core/reason_table.h"

#include <fmt/format.h>

namespace medlarmill
{

void Counters::add(std::string_view name, std::uint64_t amount)
{
    const auto found = values_.find(name);
    if (found != values_.end()) {
        found->second += amount;
        return;
    }
    values_.emplace(name, amount);
}

void Counters::add(std::string_view name, Reason reason)
{
    add(fmt::format("{}{{reason=\"{}\"}}", name, reasonInfo(reason).code));
}

std::uint64_t Counters::value(std::string_view name) const
{
    const auto found = values_.find(name);
    return found == values_.end() ? 0 : found->second;
}

}
