/** @file repeatable_job_output.h Output interfaces of the state machines for repeatable jobs. */

#pragma once

#include "repeatable/repeatable_job_type.h"
#include "wire/generated/repeat.pb.h"

namespace medlarmill
{

/** Sends messages between entries and agents. */
class LinkOutput
{
public:
    virtual ~LinkOutput() = default;

    /** Sends a message; it is dropped when there is no link. @param peer the receiver. @param message the message. */
    virtual void sendTo(Incarnation peer, repeat::Message message) = 0;

    /** Resets the link to a process; data in transit is dropped. @param peer the process. */
    virtual void resetLink(Incarnation peer) = 0;
};

/** Answers the callers of an entry. */
class CallerOutput
{
public:
    virtual ~CallerOutput() = default;

    /** @param caller the caller to answer. @param outcome the answer. */
    virtual void answer(CallerToken caller, const JobOutcome &outcome) = 0;
};

}
