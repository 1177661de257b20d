/** @file bounded_log.cpp Structured lines on standard output. */

#include "daemon/bounded_log.h"

#include "daemon/random.h"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace medlarmill
{

namespace
{

constexpr std::size_t BUFFER_LIMIT_BYTES = 256U << 10U; ///< Lines that may wait for a slow reader.
constexpr std::size_t WRITE_LIMIT_BYTES = 4'096; ///< Bytes of one write; a pipe that is ready takes so much without blocking.

}

BoundedLog::BoundedLog(std::string process, std::uint32_t linesPerSecond)
    : process_(std::move(process))
    , linesPerSecond_(linesPerSecond)
{ }

BoundedLog::~BoundedLog()
{
    flush();
}

void BoundedLog::info(std::string_view line)
{
    if (takeToken(notes_)) {
        append("info", line);
    }
}

void BoundedLog::state(std::string_view line)
{
    if (takeToken(states_)) {
        append("info", line);
    }
}

void BoundedLog::warn(std::string_view line)
{
    if (takeToken(warnings_)) {
        append("warning", line);
    }
}

bool BoundedLog::takeToken(std::uint32_t &used)
{
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(ProcessClock::now().time_since_epoch()).count();
    if (second != second_) {
        second_ = second;
        notes_ = 0;
        states_ = 0;
        warnings_ = 0;
        if (dropped_ != droppedTold_) {
            append("warning", fmt::format("event=log_lines_dropped count={} total={}", dropped_ - droppedTold_, dropped_));
            droppedTold_ = dropped_;
        }
    }
    if (used >= linesPerSecond_ || buffer_.size() > BUFFER_LIMIT_BYTES) {
        ++dropped_;
        return false;
    }
    ++used;
    return true;
}

void BoundedLog::append(std::string_view level, std::string_view line)
{
    fmt::format_to(std::back_inserter(buffer_), "unix_ms={} level={} process={} {}\n", unixMs(), level, process_, line);
}

void BoundedLog::flush()
{
    std::size_t written = 0;
    while (written < buffer_.size()) {
        pollfd ready{STDOUT_FILENO, POLLOUT, 0};
        if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
            break;
        }
        const ssize_t count = write(STDOUT_FILENO, buffer_.data() + written, std::min(WRITE_LIMIT_BYTES, buffer_.size() - written));
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    buffer_.erase(0, written);
}

}
