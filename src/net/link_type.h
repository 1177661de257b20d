/** @file link_type.h Events and commands between the link thread and the decision thread. */

#pragma once

#include "core/ids_type.h"
#include "wire/generated/medlarmill.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace medlarmill
{

constexpr std::uint32_t LINK_PROTOCOL = 1; ///< Protocol version that this release speaks.
constexpr std::uint32_t MIN_LINK_PROTOCOL = 1; ///< Oldest protocol version that it understands.
constexpr std::size_t MAX_FRAME_BYTES = 32U << 20U; ///< Largest frame.
constexpr std::size_t MAX_LINK_BACKLOG_BYTES = 64U << 20U; ///< Bytes that may wait for a slow receiver before its link is closed.

/** What happened on a link. */
enum class LinkEventKind : std::uint8_t {
    DialedUp, ///< A dialed connection is ready; `hello` is the acceptor's PeerHello.
    DialedDown, ///< A dialed connection broke.
    AgentUp, ///< An agent connected; `hello` is its AgentHello.
    AgentDown, ///< The connection of an agent broke.
    Messages, ///< Messages arrived.
};

/** Event from the link thread. */
struct LinkEvent
{
    LinkEventKind kind = LinkEventKind::Messages; ///< What happened.
    Incarnation sender = INVALID_INCARNATION; ///< The other process.
    bool fromAgent = false; ///< The other process is an agent.
    wire::Message hello; ///< For DialedUp and AgentUp.
    wire::Frame frame; ///< For Messages.
};

/** What the link thread shall do. */
enum class LinkCommandKind : std::uint8_t {
    Send, ///< Send messages; dropped when there is no link to the receiver.
    Reset, ///< Close the dialed connection to the receiver and dial again.
    SetTargets, ///< Replace the addresses to dial.
};

/** Command to the link thread. */
struct LinkCommand
{
    LinkCommandKind kind = LinkCommandKind::Send; ///< What to do.
    Incarnation receiver = INVALID_INCARNATION; ///< The other process.
    std::vector<wire::Message> messages; ///< For Send.
    std::vector<std::string> targets; ///< For SetTargets.
};

}
