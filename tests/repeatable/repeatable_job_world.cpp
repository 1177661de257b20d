/** @file repeatable_job_world.cpp Simulation of entries, agents, endpoints and callers of repeatable jobs. */

#include "repeatable_job_world_nodes.h"

#include <algorithm>

namespace medlarmill::fake
{

namespace
{

constexpr Duration RESUBMIT_DELAY = Millis(1'300); ///< Callers resubmit this long after a closed connection or an abandoned job.
constexpr Duration ENTRY_LINK_DELAY = Millis(50); ///< From the start of an entry until it is linked to the others.
constexpr Duration LINK_TIMEOUT = Millis(1'500); ///< Same value as in the message hub.
constexpr Duration NOTICE_INTERVAL = Millis(1'500);
constexpr int MAX_SUBMISSIONS = 4;

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
        agents_.back()->endpoint.clockRate = 0.98 + static_cast<double>(random_() % 21) / 1'000;
    }
}

RepeatableJobWorld::~RepeatableJobWorld() = default;

Incarnation RepeatableJobWorld::agentIncarnation(int agent) const
{
    return agents_[agent]->incarnation;
}

void RepeatableJobWorld::schedule(Duration delay, Action action)
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
    schedule(ENTRY_LINK_DELAY, [this, entry] {
        for (const auto &peer : entries_) {
            if (peer->core != nullptr && entries_[entry]->core != nullptr) {
                entries_[entry]->core->onCrashNotice(peer->core->crashNotice(), now_);
            }
        }
    });
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
    node.stopStartedAt = NEVER;
    scheduleNotices(agent);
}

void RepeatableJobWorld::scheduleNotices(int agent)
{
    AgentNode &node = *agents_[agent];
    const Incarnation expected = node.incarnation;
    schedule(Duration(Millis(random_() % 1'500)), [this, agent, expected] {
        AgentNode &current = *agents_[agent];
        if (current.incarnation != expected || current.core == nullptr) {
            return;
        }
        if (current.endpoint.up && current.unresponsive == 0) {
            current.schedule(NETWORK_DELAY, [&current, notice = current.endpoint.notice(now_)] {
                current.core->onNotice(notice, current.world.now_);
            });
        }
        schedule(NOTICE_INTERVAL / 2, [this, agent, expected] {
            if (agents_[agent]->incarnation == expected) {
                scheduleNotices(agent);
            }
        });
    });
}

void RepeatableJobWorld::terminateEntry(int entry, bool notifyPeers)
{
    EntryNode &node = *entries_[entry];
    if (node.core == nullptr) {
        return;
    }
    const Incarnation terminated = node.incarnation;
    node.core.reset();
    node.incarnation = INVALID_INCARNATION;
    for (int agent = 0; agent < static_cast<int>(agents_.size()); ++agent) {
        Link &link = links_[agent][entry];
        if (notifyPeers && link.cuts == 0) {
            disconnect(agent, entry, false, false);
            agents_[agent]->schedule(Millis(30), [this, agent, terminated] {
                agents_[agent]->core->onEntryDown(terminated, true, now_);
            });
        } else {
            link.generation += 1; // Drops messages under way; the agent notices the loss by the link timeout.
        }
    }
    std::vector<std::uint64_t> closedSubmissions;
    for (const auto &[token, submission] : submissions_) {
        if (submission.incarnation == terminated && notifyPeers) {
            closedSubmissions.push_back(token);
        }
    }
    for (const std::uint64_t token : closedSubmissions) {
        closeConnection(token, true);
    }
}

void RepeatableJobWorld::terminateAgent(int agent, bool notifyPeers)
{
    AgentNode &node = *agents_[agent];
    if (node.core == nullptr) {
        return;
    }
    node.core.reset();
    for (int entry = 0; entry < static_cast<int>(entries_.size()); ++entry) {
        if (notifyPeers) {
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
    const Instant at = std::max(now_ + NETWORK_DELAY, frozen);
    schedule(at - now_, [this, agent, entry, toEntry, generation, message = std::move(message)]() mutable {
        Link &current = links_[agent][entry];
        if (current.generation != generation || !current.up || current.cuts > 0) {
            return;
        }
        if (isFrozen(toEntry ? entries_[entry]->frozenUntil : agents_[agent]->frozenUntil)) {
            deliver(agent, entry, toEntry, std::move(message));
            return;
        }
        if (!toEntry) {
            current.agentLastReceived = now_;
            agents_[agent]->core->onEntryMessage(entries_[entry]->incarnation, message, now_);
            return;
        }
        current.entryLastReceived = now_;
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
    link.agentLastReceived = now_;
    link.entryLastReceived = now_;
    if (link.lastEntry != INVALID_INCARNATION && link.lastEntry != entryNode.incarnation) {
        agentNode.core->onEntryDown(link.lastEntry, true, now_);
    }
    link.lastEntry = entryNode.incarnation;
    agentNode.core->onEntryUp(entryNode.incarnation, now_);
}

void RepeatableJobWorld::disconnect(int agent, int entry, bool notifyAgent, bool notifyEntry)
{
    Link &link = links_[agent][entry];
    if (!link.up) {
        return;
    }
    link.up = false;
    ++link.generation;
    if (notifyAgent && agents_[agent]->core != nullptr) {
        agents_[agent]->schedule(NETWORK_DELAY, [this, agent, peer = link.lastEntry] {
            agents_[agent]->core->onEntryDown(peer, false, now_);
        });
    }
    if (notifyEntry && entries_[entry]->core != nullptr) {
        const Incarnation expected = entries_[entry]->incarnation;
        const Instant at = std::max(now_ + NETWORK_DELAY, entries_[entry]->frozenUntil);
        schedule(at - now_, [this, entry, expected, peer = agents_[agent]->incarnation] {
            if (entries_[entry]->incarnation == expected) {
                entries_[entry]->core->onAgentDown(peer, now_);
            }
        });
    }
}

void RepeatableJobWorld::tickLinks()
{
    for (int agent = 0; agent < static_cast<int>(agents_.size()); ++agent) {
        AgentNode &agentNode = *agents_[agent];
        for (int entry = 0; entry < static_cast<int>(entries_.size()); ++entry) {
            EntryNode &entryNode = *entries_[entry];
            Link &link = links_[agent][entry];
            const bool agentRuns = agentNode.core != nullptr && !isFrozen(agentNode.frozenUntil);
            const bool entryRuns = entryNode.core != nullptr && !isFrozen(entryNode.frozenUntil);
            if (link.up && agentRuns && link.agentLastReceived + LINK_TIMEOUT < now_) {
                disconnect(agent, entry, true, true);
            } else if (link.up && entryRuns && link.entryLastReceived + LINK_TIMEOUT < now_) {
                disconnect(agent, entry, true, true);
            } else if (!link.up && agentRuns && entryRuns && link.cuts == 0) {
                connect(agent, entry);
            }
        }
    }
    schedule(Millis(40), [this] {
        tickLinks();
    });
}

void RepeatableJobWorld::tickCores()
{
    for (const auto &entry : entries_) {
        if (entry->core != nullptr && !isFrozen(std::max(entry->frozenUntil, entry->timersFrom))) {
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
        if (node.stopStartedAt != NEVER && (node.core->unfinishedRuns() == 0 || now_ > node.stopStartedAt + Millis(5'500))) {
            terminateAgent(agent, true);
            schedule(Millis(300), [this, agent] {
                startAgent(agent);
            });
        }
    }
    schedule(Millis(10), [this] {
        tickCores();
    });
}

RepeatableJob RepeatableJobWorld::makeJob(const std::string &id)
{
    RepeatableJob job;
    job.id = id;
    job.spec = id;
    job.policy = {"check", "desk", 0, 3, 1.6, Millis(60), Millis(0)};
    const int groups = random_() % 6 == 0 ? 2 : 1;
    for (int number = 0; number < groups; ++number) {
        TaskGroup group;
        group.count = 1 + static_cast<std::uint32_t>(random_() % 4);
        group.demand = {3'000, 64, 0};
        group.declaredRunTime = Millis(random_() % 5 == 0 ? 1'000 + random_() % 2'500 : 30 + random_() % 400);
        if (number > 0) {
            group.dependencies = {0};
        }
        job.groups.push_back(group);
    }
    job.callerTimeout = job.groups[0].declaredRunTime + Millis(600 + random_() % 1'500);
    return job;
}

void RepeatableJobWorld::submitNew()
{
    const std::string id = "job" + std::to_string(nextJob_++);
    jobs_[id] = makeJob(id);
    if (crashingJobsIn100 > 0 && static_cast<int>(random_() % 100) < crashingJobsIn100) {
        crashingJobs_.insert(id);
    }
    submit(id, 1);
}

void RepeatableJobWorld::submit(const std::string &id, int tries)
{
    const int entry = static_cast<int>(random_() % entries_.size());
    EntryNode &node = *entries_[entry];
    if (node.core == nullptr) {
        if (tries < MAX_SUBMISSIONS) {
            ++pendingResubmissions_;
            schedule(RESUBMIT_DELAY, [this, id, tries] {
                --pendingResubmissions_;
                submit(id, tries + 1);
            });
        }
        return;
    }
    const std::uint64_t token = nextToken_++;
    const RepeatableJob &job = jobs_[id];
    submissions_[token] = {id, entry, node.incarnation, tries, now_, job.callerTimeout, isFrozen(node.frozenUntil)};
    oracle_.onSubmit(id, now_);
    const Instant at = std::max(now_ + NETWORK_DELAY, node.frozenUntil);
    const Incarnation expected = node.incarnation;
    const Instant sent = now_;
    schedule(at - now_, [this, token, entry, expected, id, sent] {
        if (entries_[entry]->incarnation != expected || !submissions_.contains(token)) {
            return;
        }
        static_cast<void>(sent);
        entries_[entry]->core->submit(CallerToken{token}, jobs_[id], now_);
        entries_[entry]->core->dispatchTasks(now_);
    });
    schedule(job.callerTimeout + Millis(60), [this, token] {
        const auto found = submissions_.find(token);
        if (found == submissions_.end()) {
            return;
        }
        const EntryNode &current = *entries_[found->second.entry];
        if (current.core != nullptr && current.incarnation == found->second.incarnation && !found->second.entryWasFrozen) {
            ++unanswered_;
        }
    });
    // Some callers wait longer than the deadline that they sent.
    schedule(job.callerTimeout + Millis(60 + (random_() % 2) * (random_() % 4'000)), [this, token] {
        closeConnection(token, true);
    });
}

void RepeatableJobWorld::closeConnection(std::uint64_t token, bool resubmit)
{
    const auto found = submissions_.find(token);
    if (found == submissions_.end()) {
        return;
    }
    const Submission submission = found->second;
    submissions_.erase(found);
    oracle_.onConnectionClosed(submission.id);
    EntryNode &node = *entries_[submission.entry];
    if (node.incarnation == submission.incarnation && node.core != nullptr) {
        const Instant at = std::max(now_ + NETWORK_DELAY, node.frozenUntil);
        schedule(at - now_, [this, token, submission] {
            if (entries_[submission.entry]->incarnation == submission.incarnation) {
                entries_[submission.entry]->core->onCallerDisconnected(CallerToken{token}, now_);
            }
        });
    }
    if (resubmit && submission.tries < MAX_SUBMISSIONS) {
        ++pendingResubmissions_;
        schedule(RESUBMIT_DELAY, [this, submission] {
            --pendingResubmissions_;
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
    if (submission.id == probeJob_ && outcome.result == JobResult::Complete) {
        recovered_ = true;
    }
    if (outcome.result == JobResult::Abandoned && submission.tries < MAX_SUBMISSIONS) {
        ++pendingResubmissions_;
        schedule(RESUBMIT_DELAY, [this, submission] {
            --pendingResubmissions_;
            submit(submission.id, submission.tries + 1);
        });
    }
}

void RepeatableJobWorld::run(const std::vector<FaultEvent> &faults, int durationMs, int jobsPerSecond)
{
    for (const auto &agent : agents_) {
        agent->endpoint.enforcesCapacity = endpointsEnforceCapacity;
        agent->endpoint.checksFencing = endpointsCheckFencing;
        agent->endpoint.clockRate = endpointClockRate.value_or(agent->endpoint.clockRate);
    }
    for (int entry = 0; entry < static_cast<int>(entries_.size()); ++entry) {
        startEntry(entry);
    }
    for (int agent = 0; agent < static_cast<int>(agents_.size()); ++agent) {
        startAgent(agent);
    }
    tickLinks();
    tickCores();
    runUntil(now_ + Millis(2'500));
    const Instant loadStart = now_;
    for (const FaultEvent &event : faults) {
        schedule(Millis(event.atMs), [this, event] {
            beginFault(event);
        });
        schedule(Millis(event.atMs + event.durationMs), [this, event] {
            endFault(event);
        });
    }
    std::function<void()> load = [this, &load, jobsPerSecond] {
        if (!generatingLoad_) {
            return;
        }
        submitNew();
        schedule(Duration(Millis(1 + random_() % (2'000 / static_cast<std::uint64_t>(jobsPerSecond)))), load);
    };
    load();
    runUntil(loadStart + Millis(durationMs));
    generatingLoad_ = false;
    for (int second = 0; second < 60 && (!submissions_.empty() || pendingResubmissions_ > 0); ++second) {
        runUntil(now_ + Millis(1'000));
    }
    runUntil(now_ + Millis(4'000));
    probeJob_ = "probe";
    jobs_[probeJob_] = makeJob(probeJob_);
    jobs_[probeJob_].groups.resize(1);
    jobs_[probeJob_].groups[0].declaredRunTime = Millis(200);
    jobs_[probeJob_].callerTimeout = Millis(2'000);
    submit(probeJob_, MAX_SUBMISSIONS);
    runUntil(now_ + Millis(2'500));
    oracle_.finish();
}

}
