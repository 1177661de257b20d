/** @file agent_output.h What the agent's decision code asks its surroundings to do. */

#pragma once

#include "core/ids_type.h"
#include "core/time_type.h"
#include "wire/generated/medlarmill.pb.h"

#include <string_view>

namespace medlarmill
{

/** Receives the actions of an AgentCore. */
class AgentOutput
{
public:
    virtual ~AgentOutput() = default;

    /** Sends a message to an entry; dropped when the entry is not connected. @param entry the receiver. @param message the message. */
    virtual void sendToEntry(Incarnation entry, wire::Message message) = 0;

    /** Closes and reopens the connection to an entry that is silent. @param entry the entry. */
    virtual void resetEntry(Incarnation entry) = 0;

    /**
     * Starts a task at the endpoint. Each key is started at most once.
     * @param key the task. @param kind its request kind. @param payload its input. @param timeLeft time until its deadline.
     */
    virtual void startTask(const TaskKey &key, std::string_view kind, std::string_view payload, Duration timeLeft) = 0;

    /** Asks the endpoint to stop a running task; its outcome is still reported. @param key the task. */
    virtual void stopTask(const TaskKey &key) = 0;

    /** A newer roster was learned, with the addresses of the entries. @param roster the roster. */
    virtual void rosterChanged(const wire::Roster &roster) = 0;
};

}
