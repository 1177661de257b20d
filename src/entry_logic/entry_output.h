/** @file entry_output.h What the entry's decision code asks its surroundings to do. */

#pragma once

#include "core/ids_type.h"
#include "wire/generated/medlarmill.pb.h"

namespace medlarmill
{

/** Receives the actions of an EntryCore. */
class EntryOutput
{
public:
    virtual ~EntryOutput() = default;

    /** Sends a message to an agent; dropped when it is not connected. @param agent the receiver. @param message the message. */
    virtual void sendToAgent(Incarnation agent, wire::Message message) = 0;

    /** Sends a message to another entry; dropped when it is not connected. @param peer the receiver. @param message the message. */
    virtual void sendToPeer(Incarnation peer, wire::Message message) = 0;

    /** Closes and reopens the connection to another entry, which seems to be silent. @param peer the entry. */
    virtual void resetPeer(Incarnation peer) = 0;

    /** Answers a caller, once per token. @param caller the caller's handle. @param answer the answer. */
    virtual void answerCaller(CallerToken caller, const wire::Answer &answer) = 0;

    /** Asks the platform's table to replace the roster of the preceding version. @param roster the wanted roster. */
    virtual void proposeRoster(const wire::Roster &roster) = 0;

    /** A newer roster was adopted, with the addresses of the entries. @param roster the roster. */
    virtual void rosterChanged(const wire::Roster &roster) = 0;

    /** @return 64 random bits. */
    virtual std::uint64_t random() = 0;

    /** @return wall clock in milliseconds since 1970, for pruning the roster's removals only. */
    virtual std::uint64_t unixMs() = 0;
};

}
