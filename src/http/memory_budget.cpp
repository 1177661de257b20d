/** @file memory_budget.cpp Decides which request data a process may hold. */

#include "http/memory_budget.h"

#include <algorithm>
#include <utility>

namespace medlarmill
{

namespace
{

constexpr std::uint64_t DEFAULT_MEMORY_MB = 120; ///< The smallest host that a deployment names.
constexpr std::uint64_t REQUEST_PART = 4; ///< Requests get a quarter: the rest is for the program, jobs, links and the allocator's gaps.
constexpr std::uint64_t RESERVE_PART = 8; ///< Of the budget; holds about 60 pages of readiness and metrics at 120 MB.
constexpr std::uint64_t MIB = 1U << 20U;

}

MemoryBudgetSettings memoryBudgetFor(std::uint64_t memoryMb)
{
    MemoryBudgetSettings settings;
    settings.total = (memoryMb == 0 ? DEFAULT_MEMORY_MB : memoryMb) * MIB / REQUEST_PART;
    settings.reserve = settings.total / RESERVE_PART;
    return settings;
}

MemoryBudget::MemoryBudget(MemoryBudgetSettings settings)
    : settings_(settings)
{ }

PortId MemoryBudget::addPort(std::string name, PortClass portClass, double share)
{
    const auto limit = static_cast<std::uint64_t>(static_cast<double>(settings_.total) * share);
    ports_.push_back({std::move(name), limit, 0, portClass});
    return PortId{ports_.size() - 1};
}

bool MemoryBudget::tryCharge(PortId port, std::uint64_t bytes)
{
    const Port &item = at(port);
    const bool isOrdinary = item.portClass == PortClass::Ordinary;
    if (bytes > settings_.total || used_ + bytes > settings_.total || item.used + bytes > item.limit
        || (isOrdinary && ordinaryUsed_ + bytes > settings_.total - settings_.reserve)) {
        return false;
    }
    charge(port, bytes);
    return true;
}

void MemoryBudget::charge(PortId port, std::uint64_t bytes)
{
    Port &item = at(port);
    item.used += bytes;
    used_ += bytes;
    ordinaryUsed_ += item.portClass == PortClass::Ordinary ? bytes : 0;
}

void MemoryBudget::release(PortId port, std::uint64_t bytes)
{
    Port &item = at(port);
    bytes = std::min(bytes, item.used);
    item.used -= bytes;
    used_ -= bytes;
    ordinaryUsed_ -= item.portClass == PortClass::Ordinary ? bytes : 0;
}

bool MemoryBudget::couldEverHold(PortId port, std::uint64_t bytes) const
{
    const Port &item = at(port);
    const std::uint64_t room = settings_.total - (item.portClass == PortClass::Ordinary ? settings_.reserve : 0);
    return bytes <= std::min(item.limit, room);
}

std::uint64_t MemoryBudget::usedBy(PortId port) const
{
    return at(port).used;
}

std::string_view MemoryBudget::nameOf(PortId port) const
{
    return at(port).name;
}

MemoryBudget::Port &MemoryBudget::at(PortId port)
{
    return ports_[static_cast<std::size_t>(port)];
}

const MemoryBudget::Port &MemoryBudget::at(PortId port) const
{
    return ports_[static_cast<std::size_t>(port)];
}

bool MemoryCharge::tryRaise(std::uint64_t bytes)
{
    if (bytes <= bytes_) {
        return true;
    }
    if (!budget_.tryCharge(port_, bytes - bytes_)) {
        return false;
    }
    bytes_ = bytes;
    return true;
}

void MemoryCharge::set(std::uint64_t bytes)
{
    if (bytes > bytes_) {
        budget_.charge(port_, bytes - bytes_);
    } else {
        budget_.release(port_, bytes_ - bytes);
    }
    bytes_ = bytes;
}

}
