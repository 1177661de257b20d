/** @file bounded_log.h Structured lines on standard output, with a bound per second, that never block the process. */

#pragma once

#include "core/time_type.h"
#include "repeatable/event_log.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace medlarmill
{

/** Collects lines and writes them in one piece at the end of a turn. */
class BoundedLog : public EventLog
{
public:
    /** @param process name in each line. @param linesPerSecond most lines of decisions in a second; warnings have as many again,
     * and so have lines about the state of the process. */
    BoundedLog(std::string process, std::uint32_t linesPerSecond);
    ~BoundedLog() override;
    BoundedLog(const BoundedLog &) = delete;
    BoundedLog &operator=(const BoundedLog &) = delete;

    void info(std::string_view line) override;
    void state(std::string_view line) override;
    void warn(std::string_view line) override;

    /** Writes what was collected, as far as the reader takes it. */
    void flush();

    /** @return lines that were dropped. */
    std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    bool takeToken(std::uint32_t &used);
    void append(std::string_view level, std::string_view line);

    std::string process_;
    std::uint32_t linesPerSecond_;
    std::int64_t second_ = 0;
    std::uint32_t notes_ = 0;
    std::uint32_t states_ = 0;
    std::uint32_t warnings_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t droppedTold_ = 0;
    std::string buffer_;
};

}
