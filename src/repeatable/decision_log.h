/** @file decision_log.h Receiver of the decisions that an on-call engineer needs to see. */

#pragma once

#include <string_view>

namespace medlarmill
{

/** Writes structured lines; never blocks. */
class DecisionLog
{
public:
    virtual ~DecisionLog() = default;

    /** Writes a line about an event. @param line `event=... key=value ...`. */
    virtual void note(std::string_view line) = 0;

    /** Writes a line about something that needs attention. @param line `event=... key=value ...`. */
    virtual void warn(std::string_view line) = 0;
};

/** Discards everything. */
class NullDecisionLog : public DecisionLog
{
public:
    void note(std::string_view /*line*/) override
    { }
    void warn(std::string_view /*line*/) override
    { }
};

}
