/** @file repeatable_job_world.cpp Entries, agents, endpoints and callers of repeatable jobs over a fake network. */

#include "repeatable_job_world_nodes.h"

#include <algorithm>

namespace medlarmill::fake
{

namespace
{

constexpr Duration RESUBMIT = Millis(1'300); ///< Callers send again so long after a broken connection.
constexpr Duration LINK_SILENCE = Millis(1'500); ///< As in the message hub.
constexpr Duration NOTICE_INTERVAL = Millis(1'500);
constexpr int MAX_TRIES = 4;

}

RepeatableJobWorld::RepeatableJobWorld(std::uint64_t seed, int entries, int agents)
    : random_(seed)
    , now_(Millis(1'000'000))
{
    links_.assign(static_cast<std::size_t>(agents), std::vector<Link>(static_cast<std::size_t>(entries)));
    for (int entry = 0; entry < entries; ++entry) {
        entries_.push_back(std::make_unique<EntryNode>(*this, entry));
    }
    for (int agent = 0; agent < agents; ++agent) {
        agents_.push_back(std::make_unique<AgentNode>(*this, agent));
        agents_.back()->endpoint.rate = 0.98 + static_cast<double>(random_() % 21) / 1'000;
    }
}

RepeatableJobWorld::~RepeatableJobWorld() = default;

Incarnation RepeatableJobWorld::agentIncarnation(int agent) const
{
    return agents_[agent]->incarnation;
}

void RepeatableJobWorld::after(Duration delay, Action action)
{
    events_.push({now_ + std::max(delay, Duration(0)), ++sequence_, std::move(action)});
}

void RepeatableJobWorld::runUntil(Instant end)
{
    while (!events_.empty() && events_.top().at <= end) {
        const Event event = events_.top();
        events_.pop();
        now_ = std::max(now_, event.at);
        event.action();
    }
    now_ = end;
}

void RepeatableJobWorld::startEntry(int entry)
{
    EntryNode &node = *entries_[entry];
    RepeatableJobEntrySettings settings = entrySettings;
    settings.name = "entry" + std::to_string(entry);
    settings.zone = "a";
    settings.incarnation = node.incarnation = toIncarnation(nextIncarnation_++);
    node.core = std::make_unique<RepeatableJobEntry>(settings, node, node, node.log);
    node.frozenUntil = Instant();
}

void RepeatableJobWorld::startAgent(int agent)
{
    AgentNode &node = *agents_[agent];
    RepeatableJobAgentSettings settings = agentSettings;
    settings.name = "agent" + std::to_string(agent);
    settings.zone = "a";
    settings.incarnation = node.incarnation = toIncarnation(nextIncarnation_++);
    node.core = std::make_unique<RepeatableJobAgent>(settings, node, node, node.log);
    node.frozenUntil = Instant();
    node.stopAt = NEVER;
    noticeTick(agent);
}

void RepeatableJobWorld::noticeTick(int agent)
{
    AgentNode &node = *agents_[agent];
    const Incarnation life = node.incarnation;
    after(Duration(Millis(random_() % 1'500)), [this, agent, life] {
        AgentNode &current = *agents_[agent];
        if (current.incarnation != life || current.core == nullptr) {
            return;
        }
        if (current.endpoint.up && current.silent == 0) {
            current.hand(HOP, [&current, notice = current.endpoint.notice(now_)] {
                current.core->onNotice(notice, current.world.now_);
            });
        }
        after(NOTICE_INTERVAL / 2, [this, agent, life] {
            if (agents_[agent]->incarnation == life) {
                noticeTick(agent);
            }
        });
    });
}

void RepeatableJobWorld::dropEntry(int entry, bool tell)
{
    EntryNode &node = *entries_[entry];
    if (node.core == nullptr) {
        return;
    }
    const Incarnation old = node.incarnation;
    node.core.reset();
    node.incarnation = INVALID_INCARNATION;
    for (int agent = 0; agent < static_cast<int>(agents_.size()); ++agent) {
        Link &link = links_[agent][entry];
        if (tell && link.cuts == 0) {
            disconnect(agent, entry, false, false);
            agents_[agent]->hand(Millis(30), [this, agent, old] {
                agents_[agent]->core->onEntryDown(old, true, now_);
            });
        } else {
            link.generation += 1; // Nothing arrives any more; the agent notices by silence.
        }
    }
    std::vector<std::uint64_t> broken;
    for (const auto &[token, submission] : submissions_) {
        if (submission.incarnation == old && tell) {
            broken.push_back(token);
        }
    }
    for (const std::uint64_t token : broken) {
        giveUp(token, true);
    }
}

void RepeatableJobWorld::dropAgent(int agent, bool tell)
{
    AgentNode &node = *agents_[agent];
    if (node.core == nullptr) {
        return;
    }
    node.core.reset();
    for (int entry = 0; entry < static_cast<int>(entries_.size()); ++entry) {
        if (tell) {
            disconnect(agent, entry, false, true);
        } else {
            links_[agent][entry].generation += 1;
        }
    }
    node.incarnation = INVALID_INCARNATION;
}

void RepeatableJobWorld::deliver(int agent, int entry, bool toEntry, repeat::Message message)
{
    const Link &link = links_[agent][entry];
    const std::uint64_t generation = link.generation;
    const Instant frozen = toEntry ? entries_[entry]->frozenUntil : agents_[agent]->frozenUntil;
    const Instant at = std::max(now_ + HOP, frozen);
    after(at - now_, [this, agent, entry, toEntry, generation, message = std::move(message)]() mutable {
        Link &current = links_[agent][entry];
        if (current.generation != generation || !current.up || current.cuts > 0) {
            return;
        }
        if (isFrozen(toEntry ? entries_[entry]->frozenUntil : agents_[agent]->frozenUntil)) {
            deliver(agent, entry, toEntry, std::move(message));
            return;
        }
        if (!toEntry) {
            current.agentHeard = now_;
            agents_[agent]->core->onEntryMessage(entries_[entry]->incarnation, message, now_);
            return;
        }
        current.entryHeard = now_;
        RepeatableJobEntry &core = *entries_[entry]->core;
        if (message.has_agent_hello()) {
            core.onAgentUp(message.agent_hello(), now_);
        } else {
            core.onAgentMessage(agents_[agent]->incarnation, message, now_);
        }
        core.dispatchTasks(now_);
    });
}

void RepeatableJobWorld::connect(int agent, int entry)
{
    Link &link = links_[agent][entry];
    EntryNode &entryNode = *entries_[entry];
    AgentNode &agentNode = *agents_[agent];
    link.up = true;
    ++link.generation;
    link.agentHeard = now_;
    link.entryHeard = now_;
    if (link.knownEntry != INVALID_INCARNATION && link.knownEntry != entryNode.incarnation) {
        agentNode.core->onEntryDown(link.knownEntry, true, now_);
    }
    link.knownEntry = entryNode.incarnation;
    agentNode.core->onEntryUp(entryNode.incarnation, now_);
}

void RepeatableJobWorld::disconnect(int agent, int entry, bool tellAgent, bool tellEntry)
{
    Link &link = links_[agent][entry];
    if (!link.up) {
        return;
    }
    link.up = false;
    ++link.generation;
    if (tellAgent && agents_[agent]->core != nullptr) {
        agents_[agent]->hand(HOP, [this, agent, peer = link.knownEntry] {
            agents_[agent]->core->onEntryDown(peer, false, now_);
        });
    }
    if (tellEntry && entries_[entry]->core != nullptr) {
        const Incarnation life = entries_[entry]->incarnation;
        const Instant at = std::max(now_ + HOP, entries_[entry]->frozenUntil);
        after(at - now_, [this, entry, life, peer = agents_[agent]->incarnation] {
            if (entries_[entry]->incarnation == life) {
                entries_[entry]->core->onAgentDown(peer, now_);
            }
        });
    }
}

void RepeatableJobWorld::linkTick()
{
    for (int agent = 0; agent < static_cast<int>(agents_.size()); ++agent) {
        AgentNode &agentNode = *agents_[agent];
        for (int entry = 0; entry < static_cast<int>(entries_.size()); ++entry) {
            EntryNode &entryNode = *entries_[entry];
            Link &link = links_[agent][entry];
            const bool agentRuns = agentNode.core != nullptr && !isFrozen(agentNode.frozenUntil);
            const bool entryRuns = entryNode.core != nullptr && !isFrozen(entryNode.frozenUntil);
            if (link.up && agentRuns && link.agentHeard + LINK_SILENCE < now_) {
                disconnect(agent, entry, true, true);
            } else if (link.up && entryRuns && link.entryHeard + LINK_SILENCE < now_) {
                disconnect(agent, entry, true, true);
            } else if (!link.up && agentRuns && entryRuns && link.cuts == 0) {
                connect(agent, entry);
            }
        }
    }
    after(Millis(40), [this] {
        linkTick();
    });
}

void RepeatableJobWorld::coreTick()
{
    for (const auto &entry : entries_) {
        if (entry->core != nullptr && !isFrozen(std::max(entry->frozenUntil, entry->ticksFrom))) {
            entry->core->tick(now_);
        }
    }
    for (int agent = 0; agent < static_cast<int>(agents_.size()); ++agent) {
        AgentNode &node = *agents_[agent];
        node.endpoint.advance(now_);
        if (node.core == nullptr || isFrozen(node.frozenUntil)) {
            continue;
        }
        node.core->tick(now_);
        if (node.stopAt != NEVER && (node.core->held() == 0 || now_ > node.stopAt + Millis(5'500))) {
            dropAgent(agent, true);
            after(Millis(300), [this, agent] {
                startAgent(agent);
            });
        }
    }
    after(Millis(10), [this] {
        coreTick();
    });
}

RepeatableJob RepeatableJobWorld::makeJob(const std::string &id)
{
    RepeatableJob job;
    job.id = id;
    job.spec = id;
    job.rule = {"check", "desk", 0, 3, 1.6, Millis(60), Millis(0)};
    const int groups = random_() % 6 == 0 ? 2 : 1;
    for (int number = 0; number < groups; ++number) {
        TaskGroup group;
        group.count = 1 + static_cast<std::uint32_t>(random_() % 4);
        group.demand = {3'000, 64, 0};
        group.declared = Millis(random_() % 5 == 0 ? 1'000 + random_() % 2'500 : 30 + random_() % 400);
        if (number > 0) {
            group.after = {0};
        }
        job.groups.push_back(group);
    }
    job.patience = job.groups[0].declared + Millis(600 + random_() % 1'500);
    return job;
}

void RepeatableJobWorld::submitNew()
{
    const std::string id = "job" + std::to_string(nextJob_++);
    jobs_[id] = makeJob(id);
    submit(id, 1);
}

void RepeatableJobWorld::submit(const std::string &id, int tries)
{
    const int entry = static_cast<int>(random_() % entries_.size());
    EntryNode &node = *entries_[entry];
    if (node.core == nullptr) {
        if (tries < MAX_TRIES) {
            ++resubmitting_;
            after(RESUBMIT, [this, id, tries] {
                --resubmitting_;
                submit(id, tries + 1);
            });
        }
        return;
    }
    const std::uint64_t token = nextToken_++;
    const RepeatableJob &job = jobs_[id];
    submissions_[token] = {id, entry, node.incarnation, tries, now_, job.patience, isFrozen(node.frozenUntil)};
    oracle_.onSubmit(id, now_);
    const Instant at = std::max(now_ + HOP, node.frozenUntil);
    const Incarnation life = node.incarnation;
    const Instant sent = now_;
    after(at - now_, [this, token, entry, life, id, sent] {
        if (entries_[entry]->incarnation != life || !submissions_.contains(token)) {
            return;
        }
        static_cast<void>(sent);
        entries_[entry]->core->submit(CallerToken{token}, jobs_[id], now_);
        entries_[entry]->core->dispatchTasks(now_);
    });
    after(job.patience + Millis(60), [this, token] {
        const auto found = submissions_.find(token);
        if (found == submissions_.end()) {
            return;
        }
        const EntryNode &current = *entries_[found->second.entry];
        if (current.core != nullptr && current.incarnation == found->second.incarnation && !found->second.entryWasFrozen) {
            ++unanswered_;
        }
    });
    // Some callers wait longer than they say.
    after(job.patience + Millis(60 + (random_() % 2) * (random_() % 4'000)), [this, token] {
        giveUp(token, true);
    });
}

void RepeatableJobWorld::giveUp(std::uint64_t token, bool resubmit)
{
    const auto found = submissions_.find(token);
    if (found == submissions_.end()) {
        return;
    }
    const Submission submission = found->second;
    submissions_.erase(found);
    oracle_.onBroken(submission.id);
    EntryNode &node = *entries_[submission.entry];
    if (node.incarnation == submission.incarnation && node.core != nullptr) {
        const Instant at = std::max(now_ + HOP, node.frozenUntil);
        after(at - now_, [this, token, submission] {
            if (entries_[submission.entry]->incarnation == submission.incarnation) {
                entries_[submission.entry]->core->onCallerDisconnected(CallerToken{token}, now_);
            }
        });
    }
    if (resubmit && submission.tries < MAX_TRIES) {
        ++resubmitting_;
        after(RESUBMIT, [this, submission] {
            --resubmitting_;
            submit(submission.id, submission.tries + 1);
        });
    }
}

void RepeatableJobWorld::onAnswer(std::uint64_t token, const JobOutcome &outcome)
{
    const auto found = submissions_.find(token);
    if (found == submissions_.end()) {
        return;
    }
    const Submission submission = found->second;
    submissions_.erase(found);
    oracle_.onAnswer(submission.id, jobs_[submission.id], outcome.result, submission.submittedAt, now_);
    if (submission.id == probe_ && outcome.result == JobResult::Complete) {
        recovered_ = true;
    }
    if (outcome.result == JobResult::Abandoned && submission.tries < MAX_TRIES) {
        ++resubmitting_;
        after(RESUBMIT, [this, submission] {
            --resubmitting_;
            submit(submission.id, submission.tries + 1);
        });
    }
}

void RepeatableJobWorld::play(const std::vector<TroubleEvent> &troubles, int forMs, int jobsPerSecond)
{
    for (const auto &agent : agents_) {
        agent->endpoint.guards = guards;
    }
    for (int entry = 0; entry < static_cast<int>(entries_.size()); ++entry) {
        startEntry(entry);
    }
    for (int agent = 0; agent < static_cast<int>(agents_.size()); ++agent) {
        startAgent(agent);
    }
    linkTick();
    coreTick();
    runUntil(now_ + Millis(2'500));
    const Instant begin = now_;
    for (const TroubleEvent &event : troubles) {
        after(Millis(event.atMs), [this, event] {
            this->begin(event);
        });
        after(Millis(event.atMs + event.forMs), [this, event] {
            end(event);
        });
    }
    std::function<void()> load = [this, &load, jobsPerSecond] {
        if (!loading_) {
            return;
        }
        submitNew();
        after(Duration(Millis(1 + random_() % (2'000 / static_cast<std::uint64_t>(jobsPerSecond)))), load);
    };
    load();
    runUntil(begin + Millis(forMs));
    loading_ = false;
    for (int second = 0; second < 60 && (!submissions_.empty() || resubmitting_ > 0); ++second) {
        runUntil(now_ + Millis(1'000));
    }
    runUntil(now_ + Millis(4'000));
    probe_ = "probe";
    jobs_[probe_] = makeJob(probe_);
    jobs_[probe_].groups.resize(1);
    jobs_[probe_].groups[0].declared = Millis(200);
    jobs_[probe_].patience = Millis(2'000);
    submit(probe_, MAX_TRIES);
    runUntil(now_ + Millis(2'500));
    oracle_.finish();
}

}
