/** @file random.cpp Random numbers from the system. */

#include "daemon/random.h"

#include <chrono>
#include <random>

namespace medlarmill
{

std::uint64_t systemRandom()
{
    static thread_local std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>()(device);
}

Incarnation newIncarnation()
{
    std::uint64_t value = 0;
    while (value == 0) {
        value = systemRandom();
    }
    return toIncarnation(value);
}

std::uint64_t unixMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

}
