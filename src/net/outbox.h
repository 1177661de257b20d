/** @file outbox.h Collects the messages of one turn, so that all messages for one receiver travel in one frame. */

#pragma once

#include "net/link_hub.h"

#include <absl/container/btree_map.h>
#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

namespace medlarmill
{

/** Messages that wait for the end of the turn of the decision thread. */
class Outbox
{
public:
    /** @param hub the link thread. */
    explicit Outbox(LinkHub &hub)
        : hub_(hub)
    { }

    /** Adds a message. @param receiver the other process. @param message the message. */
    void add(Incarnation receiver, wire::Message message)
    {
        pending_[receiver].push_back(std::move(message));
    }

    /** Closes and reopens a dialed connection. @param receiver the other process. */
    void reset(Incarnation receiver)
    {
        auto command = std::make_unique<LinkCommand>();
        command->kind = LinkCommandKind::Reset;
        command->receiver = receiver;
        queue_.push_back(std::move(command));
    }

    /** Replaces the addresses to dial. @param targets the addresses. */
    void setTargets(std::vector<std::string> targets)
    {
        auto command = std::make_unique<LinkCommand>();
        command->kind = LinkCommandKind::SetTargets;
        command->targets = std::move(targets);
        queue_.push_back(std::move(command));
    }

    /** Hands everything to the link thread. @return false when the ring is full and something is left; the caller takes no new events until
     * it is gone. */
    bool flush()
    {
        for (auto &[receiver, messages] : pending_) {
            auto command = std::make_unique<LinkCommand>();
            command->receiver = receiver;
            frames_ += 1;
            messages_ += messages.size();
            for (const wire::Message &message : messages) {
                (isControl(message) ? controlBytes_ : workBytes_) += message.ByteSizeLong() + FRAME_OVERHEAD_BYTES / messages.size();
            }
            workFrames_ += std::ranges::all_of(messages, isControl) ? 0 : 1;
            command->messages = std::move(messages);
            queue_.push_back(std::move(command));
        }
        pending_.clear();
        while (!queue_.empty()) {
            if (!hub_.command(queue_.front())) {
                ++fullRings_;
                return false;
            }
            queue_.pop_front();
        }
        return true;
    }

    /** @return frames sent. */
    std::uint64_t frames() const
    {
        return frames_;
    }

    /** @return frames sent that carry more than heartbeats. */
    std::uint64_t workFrames() const
    {
        return workFrames_;
    }

    /** @return bytes of heartbeats sent, with their share of the frames' headers but without those of TCP and IP. */
    std::uint64_t controlBytes() const
    {
        return controlBytes_;
    }

    /** @return bytes of all other messages sent, with their share of the frames' headers. */
    std::uint64_t workBytes() const
    {
        return workBytes_;
    }

    /** @return messages sent. */
    std::uint64_t messages() const
    {
        return messages_;
    }

    /** @return times the ring was full. */
    std::uint64_t fullRings() const
    {
        return fullRings_;
    }

private:
    static constexpr std::size_t FRAME_OVERHEAD_BYTES = 20; ///< Length, protocol, session and sequence number of a frame.

    static bool isControl(const wire::Message &message)
    {
        return message.has_heartbeat() || message.has_heartbeat_ack() || message.has_peer_heartbeat();
    }

    LinkHub &hub_;
    absl::btree_map<Incarnation, std::vector<wire::Message>> pending_;
    std::deque<std::unique_ptr<LinkCommand>> queue_;
    std::uint64_t frames_ = 0;
    std::uint64_t workFrames_ = 0;
    std::uint64_t controlBytes_ = 0;
    std::uint64_t workBytes_ = 0;
    std::uint64_t messages_ = 0;
    std::uint64_t fullRings_ = 0;
};

}
