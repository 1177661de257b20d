/** @file event_log.h Interface for structured log lines about events. */

#pragma once

#include <string_view>

namespace medlarmill
{

/** Writes log lines about events that an on-call engineer needs to see; never blocks. */
class EventLog
{
public:
    virtual ~EventLog() = default;

    /** Writes a line about an event. @param line `event=... key=value ...`. */
    virtual void info(std::string_view line) = 0;

    /** Writes a line about a change of the process's own state, such as the configuration in force. Such lines are few and are kept when
     * lines about single jobs exceed the limit. @param line `event=... key=value ...`. */
    virtual void state(std::string_view line)
    {
        info(line);
    }

    /** Writes a line about something that needs attention. @param line `event=... key=value ...`. */
    virtual void warn(std::string_view line) = 0;
};

/** Discards all lines. */
class NullEventLog : public EventLog
{
public:
    void info(std::string_view /*line*/) override
    { }
    void warn(std::string_view /*line*/) override
    { }
};

}
