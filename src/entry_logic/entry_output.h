/** @file entry_output.h Actions of the decision logic of an entry. */

#pragma once

#include "core/ids_type.h"
#include "wire/generated/medlarmill.pb.h"

namespace medlarmill
{

/** Carries out the actions of an EntryCore and provides its random numbers and wall clock. */
class EntryOutput
{
public:
    virtual ~EntryOutput() = default;

    /** Sends a message to an agent; it is dropped if the agent is not connected. @param agent the receiver. @param message the message. */
    virtual void sendToAgent(Incarnation agent, wire::Message message) = 0;

    /** Sends a message to another entry; it is dropped if the entry is not connected. @param peer the receiver. @param message the message.
     */
    virtual void sendToPeer(Incarnation peer, wire::Message message) = 0;

    /** Closes and reopens the connection to another entry that apparently no longer receives messages from this one. @param peer the entry.
     */
    virtual void resetPeer(Incarnation peer) = 0;

    /** Answers a caller. Called once per token. @param caller handle of the caller. @param answer the answer. */
    virtual void answerCaller(CallerToken caller, const wire::Answer &answer) = 0;

    /** Requests a compare-and-swap of the roster in the platform table. @param roster the new roster; replaces the preceding version only.
     */
    virtual void proposeRoster(const wire::Roster &roster) = 0;

    /** Reports that a newer roster is in force. @param roster the roster with the addresses of the entries. */
    virtual void rosterChanged(const wire::Roster &roster) = 0;

    /** @return 64 random bits. */
    virtual std::uint64_t random() = 0;

    /** @return wall clock time in milliseconds since the Unix epoch; only used to prune removed members from the roster. */
    virtual std::uint64_t unixMs() = 0;
};

}
