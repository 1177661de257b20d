/** @file world_faults.cpp Faults of the fake system, and its recovery. */

#include "world.h"

#include <algorithm>

namespace medlarmill::test
{

namespace
{

constexpr Duration RECOVERY = Millis(15'000); ///< Time to recover after all faults have ended.
constexpr Duration ANSWER_BOUND = Millis(5'000); ///< An answer comes at most so long after its deadline.
constexpr Duration CONFIG_BOUND = Millis(5'000); ///< An accepted configuration is in force within this time.

}

void World::kill(int index, bool silently)
{
    Node &victim = node(index);
    if (!victim.alive) {
        return;
    }
    ++faults[silently ? "host dies" : "process dies"];
    victim.alive = false;
    victim.backlog.clear();
    std::erase_if(pending_, [&](const auto &item) {
        return item.second.entry == index;
    });
    const Incarnation gone = victim.incarnation;
    for (EntryNode &entry : entries_) {
        if (index < ENTRY_COUNT && entry.alive && entry.connected.erase(index) > 0) {
            const int life = entry.life;
            at(now_ + (silently ? Millis(3'000) : Duration(delay_)), [this, &entry, life, gone] {
                deliver(entry.index, life, [&entry, gone] {
                    entry.core->onPeerDisconnected(gone);
                });
            });
        }
        if (index >= ENTRY_COUNT && entry.alive && !silently) {
            const int life = entry.life;
            at(now_ + delay_, [this, &entry, life, gone] {
                deliver(entry.index, life, [&entry, gone] {
                    entry.core->onAgentDisconnected(gone);
                });
            });
        }
    }
    for (AgentNode &agent : agents_) {
        if (index < ENTRY_COUNT && agent.alive && !silently) {
            closeAgentSession(agent, index);
        }
    }
}

void World::start(int index)
{
    if (node(index).alive) {
        return;
    }
    if (index < ENTRY_COUNT) {
        makeEntry(index);
    } else {
        makeAgent(index - ENTRY_COUNT);
    }
}

void World::pause(int index)
{
    Node &target = node(index);
    if (target.alive && !target.paused) {
        ++faults["process pauses"];
        target.paused = true;
    }
}

void World::resume(int index)
{
    Node &target = node(index);
    if (!target.paused) {
        return;
    }
    target.paused = false;
    const std::vector<std::function<void()>> backlog = std::move(target.backlog);
    target.backlog.clear();
    const int life = target.life;
    for (const auto &action : backlog) {
        deliver(index, life, action);
    }
}

void World::jumpClock(int index, Duration forward)
{
    ++faults["clock jumps"];
    node(index).clockOffset += forward;
}

void World::cut(int from, int to, bool isCut)
{
    if (from == to) {
        return;
    }
    if (isCut) {
        faults["link goes silent"] += cuts_.insert({from, to}).second ? 1 : 0;
    } else {
        cuts_.erase({from, to});
    }
}

void World::breakConnection(int a, int b)
{
    const int first = std::min(a, b);
    const int second = std::max(a, b);
    if (first >= ENTRY_COUNT || first == second || !node(first).alive || !node(second).alive) {
        return;
    }
    ++faults["connection breaks"];
    EntryNode &entry = entries_[static_cast<std::size_t>(first)];
    if (second >= ENTRY_COUNT) {
        AgentNode &agent = agents_[static_cast<std::size_t>(second - ENTRY_COUNT)];
        closeAgentSession(agent, first);
        return;
    }
    if (entry.connected.erase(second) > 0) {
        entry.core->onPeerDisconnected(entries_[static_cast<std::size_t>(second)].incarnation);
    }
}

void World::setDelay(Duration delay)
{
    ++faults["delay changes"];
    delay_ = delay;
}

void World::setStore(bool up)
{
    faults["store outage"] += storeUp_ && !up ? 1 : 0;
    storeUp_ = up;
}

void World::loseStoreReply()
{
    ++faults["store reply lost"];
    ++lostReplies_;
}

void World::drain(int index)
{
    Node &target = node(index);
    if (!target.alive || target.paused || target.leftAt != NEVER) {
        return;
    }
    ++faults["planned stop"];
    target.leftAt = now_;
    if (index < ENTRY_COUNT) {
        entries_[static_cast<std::size_t>(index)].core->startDraining();
    } else {
        agents_[static_cast<std::size_t>(index - ENTRY_COUNT)].core->startLeaving();
    }
}

void World::submitConfig()
{
    if (storeUp_) {
        ++configVersion_;
    }
}

void World::heal()
{
    cuts_.clear();
    delay_ = Millis(2);
    storeUp_ = true;
    lostReplies_ = 0;
    for (int index = 0; index < NODE_COUNT; ++index) {
        resume(index);
    }
    advance(RECOVERY);
    for (int index = 0; index < NODE_COUNT; ++index) {
        start(index);
    }
    advance(RECOVERY);
    ++configVersion_;
    advance(CONFIG_BOUND);
    for (const EntryNode &entry : entries_) {
        if (entry.alive && entry.leftAt == NEVER && static_cast<std::uint64_t>(entry.core->config().version) != configVersion_) {
            throw InvariantError(fmt::format("entry {} does not have the accepted configuration", entry.index));
        }
    }
    const std::size_t before = oracle.finals();
    std::size_t expected = 0;
    for (const EntryNode &entry : entries_) {
        expected += entry.alive && entry.leftAt == NEVER ? 1 : 0;
        submit(entry.index, "", 2, 1, 50, 5'000, false);
    }
    advance(Millis(60'000) + ANSWER_BOUND);
    for (const auto &[caller, pending] : pending_) {
        throw InvariantError(fmt::format("the caller of {} at entry {} got no answer", pending.id, pending.entry));
    }
    if (oracle.finals() < before + expected) {
        throw InvariantError("work does not flow after all faults have ended");
    }
}

}
