/** @file memory_budget.h Decides which request data a process may hold: one budget for all its listening ports. */

#pragma once

#include "core/counters.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace medlarmill
{

/** Identifies a listening port within a MemoryBudget. */
enum class PortId : std::size_t {};

/** What a port is for. */
enum class PortClass : std::uint8_t {
    Ordinary, ///< Requests of callers and announcements.
    Reserved, ///< Readiness and operators: may also use the reserve, which ordinary ports cannot.
};

/** Sizes of a MemoryBudget, in bytes. */
struct MemoryBudgetSettings
{
    std::uint64_t total = 30U << 20U; ///< All ports together. The default is that of a host of 120 MB.
    std::uint64_t reserve = 30U << 17U; ///< Part of the total that only reserved ports may use.
};

/** @param memoryMb memory of the process, in MiB; 0 when the settings name none. @return the part of it that requests may hold. */
MemoryBudgetSettings memoryBudgetFor(std::uint64_t memoryMb);

/** Charges and releases bytes. Has no sockets and no clock; used by one thread. */
class MemoryBudget
{
public:
    /** @param settings sizes. */
    explicit MemoryBudget(MemoryBudgetSettings settings);

    /** Adds a port. @param name its name in metrics. @param portClass what it is for. @param share largest part of the total that it may
     * use, above 0 and at most 1. @return its id. */
    PortId addPort(std::string name, PortClass portClass, double share);

    /** Charges bytes that are about to be held. @param port the port. @param bytes how many. @return whether there is room; nothing is
     * charged without. */
    [[nodiscard]] bool tryCharge(PortId port, std::uint64_t bytes);

    /** Charges bytes that are held already and are not given up, such as a ready answer. @param port the port. @param bytes how many. */
    void charge(PortId port, std::uint64_t bytes);

    /** Releases charged bytes. @param port the port. @param bytes how many; not more than were charged. */
    void release(PortId port, std::uint64_t bytes);

    /** @param port the port. @param bytes how many. @return whether so many would fit if nothing else were charged. */
    bool couldEverHold(PortId port, std::uint64_t bytes) const;

    /** @return bytes charged by all ports. */
    std::uint64_t used() const
    {
        return used_;
    }

    /** @return the sizes. */
    const MemoryBudgetSettings &settings() const
    {
        return settings_;
    }

    /** @param port the port. @return bytes charged by it. */
    std::uint64_t usedBy(PortId port) const;

    /** @param port the port. @return its name. */
    std::string_view nameOf(PortId port) const;

    /** @return the number of ports. */
    std::size_t portCount() const
    {
        return ports_.size();
    }

private:
    struct Port
    {
        std::string name; ///< Name in metrics.
        std::uint64_t limit = 0; ///< Bytes at most.
        std::uint64_t used = 0; ///< Bytes charged.
        PortClass portClass = PortClass::Ordinary; ///< What it is for.
    };

    Port &at(PortId port);
    const Port &at(PortId port) const;

    MemoryBudgetSettings settings_;
    std::vector<Port> ports_;
    std::uint64_t used_ = 0;
    std::uint64_t ordinaryUsed_ = 0;
};

/** Holds a charge and releases it at its end. */
class MemoryCharge
{
public:
    /** @param budget must outlive the charge. @param port the port. */
    MemoryCharge(MemoryBudget &budget, PortId port)
        : budget_(budget)
        , port_(port)
    { }

    ~MemoryCharge()
    {
        budget_.release(port_, bytes_);
    }

    MemoryCharge(const MemoryCharge &) = delete;
    MemoryCharge &operator=(const MemoryCharge &) = delete;

    /** Raises the charge to a number of bytes. @param bytes the number. @return whether there is room. */
    [[nodiscard]] bool tryRaise(std::uint64_t bytes);

    /** Sets the charge, also when there is no room. @param bytes the number. */
    void set(std::uint64_t bytes);

    /** @return bytes charged. */
    std::uint64_t bytes() const
    {
        return bytes_;
    }

private:
    MemoryBudget &budget_;
    PortId port_;
    std::uint64_t bytes_ = 0;
};

}
