/** @file world.cpp Small fakes around the real decision objects. */

#include "world.h"

#include <algorithm>

namespace medlarmill::test
{

namespace
{

constexpr char SERVICE[] = "desk";
constexpr Duration TICK = Millis(50); ///< Time between ticks of every process.
constexpr Duration HELD_RETRY = Millis(50); ///< How often a cut link is tried again.
constexpr Duration STORE_INTERVAL = Millis(500); ///< Time between reads of the table.
constexpr std::uint32_t SLOTS = 2; ///< Slots of an endpoint.

/** Splits `body/runMs` as the fake endpoint gets it. */
std::pair<std::string, std::uint32_t> readPayload(std::string_view payload)
{
    const std::size_t slash = payload.find('/');
    return {std::string(payload.substr(0, slash)), static_cast<std::uint32_t>(std::stoul(std::string(payload.substr(slash + 1))))};
}

}

World::World(Mutation mutation)
    : mutation_(mutation)
    , entries_(ENTRY_COUNT)
    , agents_(AGENT_COUNT)
{
    for (int index = 0; index < ENTRY_COUNT; ++index) {
        makeEntry(index);
    }
    for (int index = 0; index < AGENT_COUNT; ++index) {
        makeAgent(index);
    }
    advance(Millis(8'000));
}

Node &World::node(int index)
{
    return index < ENTRY_COUNT ? static_cast<Node &>(entries_[static_cast<std::size_t>(index)])
                               : static_cast<Node &>(agents_[static_cast<std::size_t>(index - ENTRY_COUNT)]);
}

Instant World::nowOf(const Node &node) const
{
    return now_ + node.clockOffset;
}

void World::at(Instant time, std::function<void()> action)
{
    events_.emplace(std::pair(time, sequence_++), std::move(action));
}

void World::deliver(int to, int life, std::function<void()> action)
{
    Node &target = node(to);
    if (!target.alive || target.life != life) {
        return;
    }
    if (target.paused) {
        target.backlog.push_back(std::move(action));
        return;
    }
    action();
}

void World::hold(int from, int to, std::function<bool()> stillOpen, std::function<void()> action)
{
    const int life = node(to).life;
    at(now_ + delay_, [=, this] {
        if (!stillOpen()) {
            return;
        }
        if (cuts_.contains({from, to})) {
            at(now_ + HELD_RETRY, [=, this] {
                hold(from, to, stillOpen, action);
            });
            return;
        }
        deliver(to, life, action);
    });
}

void World::advance(Duration span)
{
    const Instant end = now_ + span;
    while (now_ < end) {
        const Instant nextTick = std::min(end, now_ + TICK);
        while (!events_.empty() && events_.begin()->first.first <= nextTick) {
            auto event = events_.extract(events_.begin());
            now_ = std::max(now_, event.key().first);
            event.mapped()();
        }
        now_ = nextTick;
        tickAll();
    }
}

void World::tickAll()
{
    dialPeers();
    dialAgents();
    for (EntryNode &entry : entries_) {
        if (!entry.alive || entry.paused) {
            continue;
        }
        entry.core->tick(nowOf(entry));
        oracle.onConfig(fmt::format("entry {}", entry.index), static_cast<std::uint64_t>(entry.core->config().version));
        if (now_.time_since_epoch() % STORE_INTERVAL < TICK) {
            storeRead(entry.index);
        }
        if (entry.leftAt != NEVER && entry.core->isStopped()) {
            entry.leftAt = NEVER;
            kill(entry.index, false);
        } else if (entry.leftAt == NEVER && entry.core->membership().wasRemoved()) {
            // The daemon begins again under a new incarnation.
            kill(entry.index, false);
            start(entry.index);
        }
    }
    for (AgentNode &agent : agents_) {
        if (!agent.alive || agent.paused) {
            continue;
        }
        agent.core->tick(nowOf(agent));
        oracle.onConfig(fmt::format("agent {}", agent.index), static_cast<std::uint64_t>(agent.core->configVersion()));
        if (agent.core->isStopped()) {
            kill(agent.index + ENTRY_COUNT, false);
        }
    }
}

void World::makeEntry(int index)
{
    EntryNode &entry = entries_[static_cast<std::size_t>(index)];
    const Incarnation earlier = entry.incarnation;
    entry.world = this;
    entry.index = index;
    entry.alive = true;
    entry.paused = false;
    ++entry.life;
    entry.leftAt = NEVER;
    entry.connected.clear();
    entry.backlog.clear();
    const bool reuse = mutation_ == Mutation::ReusedIncarnation && earlier != INVALID_INCARNATION;
    entry.incarnation = reuse ? earlier : toIncarnation(entry.random());
    EntrySettings settings;
    settings.membership.name = fmt::format("entry-{}", index);
    settings.membership.zone = fmt::format("zone-{}", index);
    settings.membership.address = fmt::format("127.0.0.1:{}", index + 1);
    settings.membership.incarnation = entry.incarnation;
    entry.core = std::make_unique<EntryCore>(settings, entry);
    if (mutation_ == Mutation::OldConfigAfterRestart && entry.life > 1) {
        entry.core->onConfigRead(ConfigVersion{1}, configText(), nowOf(entry));
    }
}

void World::makeAgent(int index)
{
    AgentNode &agent = agents_[static_cast<std::size_t>(index)];
    agent.world = this;
    agent.index = index;
    agent.alive = true;
    agent.paused = false;
    ++agent.life;
    agent.leftAt = NEVER;
    agent.sessions.clear();
    agent.backlog.clear();
    agent.stopped.clear();
    agent.incarnation = toIncarnation(entries_[0].random());
    AgentSettings settings;
    settings.name = fmt::format("endpoint-{}", index);
    settings.service = SERVICE;
    settings.zone = fmt::format("zone-{}", index % ENTRY_COUNT);
    settings.incarnation = agent.incarnation;
    settings.slots = SLOTS;
    agent.core = std::make_unique<AgentCore>(settings, agent);
}

int World::entryOf(Incarnation incarnation) const
{
    for (const EntryNode &entry : entries_) {
        if (entry.alive && entry.incarnation == incarnation) {
            return entry.index;
        }
    }
    return -1;
}

int World::agentOf(Incarnation incarnation) const
{
    for (const AgentNode &agent : agents_) {
        if (agent.alive && agent.incarnation == incarnation) {
            return agent.index;
        }
    }
    return -1;
}

void World::dialPeers()
{
    for (EntryNode &entry : entries_) {
        for (int other = 0; other < ENTRY_COUNT && entry.alive && !entry.paused; ++other) {
            EntryNode &target = entries_[static_cast<std::size_t>(other)];
            const bool reachable
                = target.alive && !target.paused && !cuts_.contains({entry.index, other}) && !cuts_.contains({other, entry.index});
            if (other == entry.index || entry.connected.contains(other) || !reachable) {
                continue;
            }
            entry.connected.insert(other);
            entry.core->onPeerConnected(target.incarnation, nowOf(entry));
        }
    }
}

void World::dialAgents()
{
    for (AgentNode &agent : agents_) {
        for (int index = 0; index < ENTRY_COUNT && agent.alive && !agent.paused; ++index) {
            EntryNode &entry = entries_[static_cast<std::size_t>(index)];
            const int own = agent.index + ENTRY_COUNT;
            const bool reachable = entry.alive && !entry.paused && !cuts_.contains({own, index}) && !cuts_.contains({index, own});
            AgentNode::Session &session = agent.sessions[index];
            if (session.id != 0 || !reachable) {
                continue;
            }
            session = {nextSession_++, entry.incarnation, false};
            const int id = session.id;
            const int agentLife = agent.life;
            const wire::AgentHello hello = agent.core->hello().agent_hello();
            const auto isOpen = [&agent, index, id, agentLife] {
                return agent.life == agentLife && agent.sessions[index].id == id;
            };
            hold(own, index, isOpen, [this, &entry, &agent, index, own, id, hello, isOpen] {
                accepted_[{index, toIncarnation(hello.incarnation())}] = id;
                hold(index, own, isOpen, [this, &agent, index] {
                    agent.sessions[index].ready = true;
                    agent.core->onEntryConnected(agent.sessions[index].entry, nowOf(agent));
                });
                entry.core->onAgentHello(hello, nowOf(entry));
            });
        }
    }
}

void World::closeAgentSession(AgentNode &agent, int entryIndex)
{
    AgentNode::Session session = agent.sessions[entryIndex];
    agent.sessions.erase(entryIndex);
    if (session.id != 0 && agent.alive) {
        agent.core->onEntryDisconnected(session.entry);
    }
}

void EntryNode::sendToAgent(Incarnation agent, wire::Message message)
{
    const int target = world->agentOf(agent);
    const auto session = world->accepted_.find({index, agent});
    if (target < 0 || session == world->accepted_.end()) {
        return;
    }
    AgentNode &receiver = world->agents_[static_cast<std::size_t>(target)];
    const int id = session->second;
    const auto isOpen = [&receiver, this, id] {
        return receiver.sessions[index].id == id;
    };
    const Incarnation sender = incarnation;
    if (world->mutateToAgent(*this, receiver, message)) {
        return;
    }
    world->hold(index, target + ENTRY_COUNT, isOpen, [this, &receiver, sender, message = std::move(message)] {
        receiver.core->onEntryMessage(sender, message, world->nowOf(receiver));
    });
}

bool World::mutateToAgent(EntryNode &entry, const AgentNode &agent, wire::Message &message)
{
    if (mutation_ == Mutation::NoFence) {
        for (wire::Roster *roster : {message.has_admit() ? message.mutable_admit()->mutable_roster() : nullptr,
                                     message.has_roster_update() ? message.mutable_roster_update()->mutable_roster() : nullptr}) {
            if (roster != nullptr) {
                roster->clear_removed();
            }
        }
    }
    std::vector<wire::Message> forged;
    if (mutation_ == Mutation::NoFence && message.has_fence_request()) {
        forged.emplace_back().mutable_fence_reply()->set_incarnation(message.fence_request().incarnation());
    }
    if (mutation_ == Mutation::RestartOnSilence && message.has_task_query()) {
        for (const wire::TaskRef &task : message.task_query().tasks()) {
            wire::TaskReport *report = forged.emplace_back().mutable_task_report();
            report->set_submission_id(task.submission_id());
            report->set_index(task.index());
            report->set_state(wire::TASK_NOT_RUN);
        }
    }
    const Incarnation sender = agent.incarnation;
    const int life = entry.life;
    for (const wire::Message &reply : forged) {
        at(now_ + 2 * delay_, [this, &entry, life, sender, reply] {
            deliver(entry.index, life, [this, &entry, sender, reply] {
                entry.core->onAgentMessage(sender, reply, nowOf(entry));
            });
        });
    }
    return !forged.empty();
}

void EntryNode::sendToPeer(Incarnation peer, wire::Message message)
{
    const int target = world->entryOf(peer);
    if (target < 0 || !connected.contains(target)) {
        return;
    }
    EntryNode &receiver = world->entries_[static_cast<std::size_t>(target)];
    const Incarnation sender = incarnation;
    // What was sent arrives even after the sender has opened a new connection.
    const auto isOpen = [] {
        return true;
    };
    world->hold(index, target, isOpen, [this, &receiver, sender, message = std::move(message)] {
        receiver.core->onPeerMessage(sender, message, world->nowOf(receiver));
    });
}

void EntryNode::resetPeer(Incarnation peer)
{
    const int target = world->entryOf(peer);
    if (target >= 0 && connected.erase(target) > 0) {
        core->onPeerDisconnected(peer);
    }
}

void EntryNode::answerCaller(CallerToken caller, const wire::Answer &answer)
{
    world->onAnswer(index, caller, answer);
}

void EntryNode::proposeRoster(const wire::Roster &roster)
{
    const int ownLife = life;
    world->at(world->now_ + world->delay_, [this, roster, ownLife] {
        if (!world->storeUp_) {
            world->at(world->now_ + Millis(2'000), [this, ownLife] {
                world->deliver(index, ownLife, [this] {
                    core->onRosterProposalFailed();
                });
            });
            return;
        }
        if (world->roster_.version() + 1 == roster.version()) {
            world->roster_ = roster;
        }
        if (world->lostReplies_ > 0) {
            --world->lostReplies_;
            world->at(world->now_ + Millis(2'000), [this, ownLife] {
                world->deliver(index, ownLife, [this] {
                    core->onRosterProposalFailed();
                });
            });
            return;
        }
        const wire::Roster now = world->roster_;
        world->at(world->now_ + world->delay_, [this, now, ownLife] {
            world->deliver(index, ownLife, [this, now] {
                core->onRosterRead(now, world->nowOf(*this));
            });
        });
    });
}

std::uint64_t EntryNode::random()
{
    std::uint64_t value = world->random_ += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

std::uint64_t EntryNode::unixMs()
{
    return toMillis(world->now_.time_since_epoch());
}

void World::storeRead(int index)
{
    if (!storeUp_) {
        return;
    }
    EntryNode &entry = entries_[static_cast<std::size_t>(index)];
    const int life = entry.life;
    const wire::Roster roster = roster_;
    const std::uint64_t version = configVersion_;
    at(now_ + delay_, [this, &entry, index, life, roster, version] {
        deliver(index, life, [this, &entry, roster, version] {
            entry.core->onRosterRead(roster, nowOf(entry));
            entry.core->onConfigRead(ConfigVersion{version}, configText(), nowOf(entry));
        });
    });
}

std::string World::configText() const
{
    return R"({"teams":{"t":{}},"services":{"desk":{"team":"t","kinds":{"k":{}}}}})";
}

void AgentNode::sendToEntry(Incarnation entry, wire::Message message)
{
    for (auto &[entryIndex, session] : sessions) {
        if (session.entry != entry || !session.ready) {
            continue;
        }
        EntryNode &receiver = world->entries_[static_cast<std::size_t>(entryIndex)];
        const int id = session.id;
        const Incarnation sender = incarnation;
        const int target = entryIndex;
        // What was sent arrives as long as the entry has not accepted a newer connection.
        const auto isOpen = [this, target, sender, id] {
            return world->accepted_[{target, sender}] == id;
        };
        world->hold(index + ENTRY_COUNT, target, isOpen, [this, &receiver, sender, message = std::move(message)] {
            receiver.core->onAgentMessage(sender, message, world->nowOf(receiver));
        });
        return;
    }
}

void AgentNode::resetEntry(Incarnation entry)
{
    for (auto &[entryIndex, session] : sessions) {
        if (session.entry != entry) {
            continue;
        }
        const int target = entryIndex;
        const int ownLife = life;
        world->at(world->now_, [this, target, ownLife] {
            if (life == ownLife) {
                world->closeAgentSession(*this, target);
            }
        });
        return;
    }
}

void AgentNode::startTask(const TaskKey &key, std::string_view, std::string_view payload, Duration)
{
    const auto task = static_cast<std::uint32_t>(key.index);
    world->oracle.onStart(key.submission, task, world->now_, leftAt);
    const auto [body, runMs] = readPayload(payload);
    const bool fails = body == "fail";
    const int ownLife = life;
    world->at(world->now_ + Millis(runMs), [this, key, task, ownLife, fails, text = body] {
        world->deliver(index + ENTRY_COUNT, ownLife, [this, key, task, fails, text] {
            if (stopped.erase(key) > 0) {
                return;
            }
            core->onTaskFinished(key,
                                 fails ? TaskOutcome{wire::TASK_FAILED, Reason::TaskFailed, "failed"}
                                       : TaskOutcome{wire::TASK_COMPLETE, Reason::None, Oracle::resultOf(key.submission, task, text)},
                                 world->nowOf(*this));
        });
    });
}

void AgentNode::stopTask(const TaskKey &key)
{
    stopped.insert(key);
    const int ownLife = life;
    world->at(world->now_ + world->delay_, [this, key, ownLife] {
        world->deliver(index + ENTRY_COUNT, ownLife, [this, key] {
            core->onTaskFinished(key, {wire::TASK_FAILED, Reason::Cancelled, {}}, world->nowOf(*this));
        });
    });
}

void World::onAnswer(int entry, CallerToken caller, const wire::Answer &answer)
{
    auto found = pending_.find(caller);
    if (found == pending_.end() || found->second.entry != entry) {
        throw InvariantError("an answer for a caller that does not wait");
    }
    const Pending pending = found->second;
    pending_.erase(found);
    if (pending.id.empty() && !answer.submission_id().empty()) {
        oracle.onSubmit(answer.submission_id(), pending.tasks, pending.body); // The id was minted.
    }
    if (mutation_ == Mutation::RefusalAfterGrant && answer.kind() == wire::ANSWER_FAILED) {
        wire::Answer refusal = answer;
        refusal.set_kind(wire::ANSWER_REFUSED);
        oracle.onAnswer(pending.id, pending.body, refusal);
        return;
    }
    if (mutation_ == Mutation::CrossedAnswer && !pending_.empty()) {
        oracle.onAnswer(pending_.begin()->second.id, pending_.begin()->second.body, answer);
        return;
    }
    oracle.onAnswer(pending.id, pending.body, answer);
}

void World::submit(int entry, const std::string &id, std::uint32_t tasks, int body, std::uint32_t runMs, std::uint32_t deadlineMs,
                   bool idempotent)
{
    EntryNode &target = entries_[static_cast<std::size_t>(entry)];
    if (!target.alive || target.paused) {
        return;
    }
    const std::string name = body == 0 ? "fail" : fmt::format("body-{}", body);
    const CallerToken caller{nextCaller_++};
    wire::Job job;
    job.set_submission_id(id);
    job.set_service(SERVICE);
    job.set_kind("k");
    job.set_deadline_ms(deadlineMs);
    job.set_idempotent(idempotent);
    for (std::uint32_t index = 0; index < tasks; ++index) {
        job.add_tasks()->set_payload(fmt::format("{}/{}", name, runMs));
    }
    if (!id.empty()) {
        oracle.onSubmit(id, tasks, name);
    }
    pending_[caller] = {id, name, tasks, entry};
    target.core->submit(caller, std::move(job), nowOf(target));
}

void World::fetch(int entry, const std::string &id)
{
    EntryNode &target = entries_[static_cast<std::size_t>(entry)];
    if (!target.alive || target.paused) {
        return;
    }
    const CallerToken caller{nextCaller_++};
    pending_[caller] = {id, "", 0, entry};
    target.core->fetch(caller, id, nowOf(target));
}

void World::cancel(int entry, const std::string &id)
{
    EntryNode &target = entries_[static_cast<std::size_t>(entry)];
    if (!target.alive || target.paused) {
        return;
    }
    const CallerToken caller{nextCaller_++};
    pending_[caller] = {id, "", 0, entry};
    target.core->cancel(caller, id, nowOf(target));
}

}
