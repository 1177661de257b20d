/** @file repeat_world.cpp Entries, agents, endpoints and callers of repeatable jobs over a fake network. */

#include "repeat_world.h"

#include <algorithm>
#include <iostream>

namespace medlarmill::fake
{

namespace
{

constexpr Duration HOP = Millis(1); ///< One way between processes.
constexpr Duration RESUBMIT = Millis(1'300); ///< Callers send again so long after a broken connection.
constexpr Duration LINK_SILENCE = Millis(1'500); ///< As in the message hub.
constexpr Duration NOTICE_INTERVAL = Millis(1'500);
constexpr int MAX_TRIES = 4;

class TraceLog : public DecisionLog
{
public:
    TraceLog(std::string name, const bool &enabled, const Instant &now)
        : name_(std::move(name))
        , enabled_(enabled)
        , now_(now)
    { }

    void note(std::string_view line) override
    {
        if (enabled_) {
            std::cout << toMillis(now_.time_since_epoch()) << ' ' << name_ << ' ' << line << '\n';
        }
    }

    void warn(std::string_view line) override
    {
        note(line);
    }

private:
    std::string name_;
    const bool &enabled_;
    const Instant &now_;
};

}

struct RepeatWorld::Link
{
    bool up = false;
    std::uint64_t generation = 0;
    int cuts = 0; ///< Reasons why nothing passes.
    Instant agentHeard;
    Instant entryHeard;
    Incarnation knownEntry = INVALID_INCARNATION; ///< What the agent reached there last.
};

struct RepeatWorld::Submission
{
    std::string id;
    int entry = 0;
    Incarnation incarnation = INVALID_INCARNATION;
    int tries = 0;
    Instant submittedAt;
    Duration patience{0};
    bool entryWasFrozen = false;
};

struct RepeatWorld::EntryNode : public LinkOutput, public CallerOutput
{
    EntryNode(RepeatWorld &owner, int position)
        : world(owner)
        , number(position)
        , log("entry" + std::to_string(position), owner.trace, owner.now_)
    { }

    void sendTo(Incarnation peer, repeat::Message message) override
    {
        for (int agent = 0; agent < static_cast<int>(world.agents_.size()); ++agent) {
            if (world.agentIncarnation(agent) == peer && world.links_[agent][number].up) {
                world.deliver(agent, number, false, std::move(message));
                return;
            }
        }
    }

    void resetLink(Incarnation peer) override
    {
        for (int agent = 0; agent < static_cast<int>(world.agents_.size()); ++agent) {
            if (world.agentIncarnation(agent) == peer) {
                world.disconnect(agent, number, true, false);
            }
        }
    }

    void answer(CallerToken caller, const JobOutcome &outcome) override
    {
        world.onAnswer(static_cast<std::uint64_t>(caller), outcome);
    }

    RepeatWorld &world;
    int number;
    TraceLog log;
    Incarnation incarnation = INVALID_INCARNATION;
    std::unique_ptr<RepeatEntry> core;
    Instant frozenUntil;
    Instant ticksFrom;
};

struct RepeatWorld::AgentNode : public LinkOutput, public EndpointPort
{
    AgentNode(RepeatWorld &owner, int position)
        : world(owner)
        , number(position)
        , log("agent" + std::to_string(position), owner.trace, owner.now_)
        , endpoint(position, owner.oracle_)
    { }

    void sendTo(Incarnation peer, repeat::Message message) override
    {
        for (int entry = 0; entry < static_cast<int>(world.entries_.size()); ++entry) {
            if (world.entries_[entry]->incarnation == peer && world.links_[number][entry].up) {
                world.deliver(number, entry, true, std::move(message));
                return;
            }
        }
    }

    void resetLink(Incarnation /*peer*/) override
    { }

    /** Hands a result to the agent when it can run, if it is still the same life. */
    void hand(Duration delay, Action action)
    {
        const Incarnation life = incarnation;
        world.after(delay, [this, life, action = std::move(action)]() mutable {
            if (incarnation != life || core == nullptr) {
                return;
            }
            if (world.isFrozen(frozenUntil)) {
                hand(frozenUntil - world.now_, std::move(action));
                return;
            }
            action();
        });
    }

    /** Carries out an order with the faults in force. @param act the order. @param done gets its answer. */
    void order(const EndpointCall &call, std::function<EndpointAnswer()> act, std::function<void(EndpointAnswer)> done)
    {
        if (!endpoint.up) {
            hand(HOP, [this, done] {
                EndpointAnswer answer;
                answer.status = EndpointCallStatus::ConnectionRefused;
                answer.at = world.now_;
                done(answer);
            });
            return;
        }
        const bool late = lateOrders > 0 && world.random_() % 3 == 0;
        const bool lost = lostAnswers > 0 && world.random_() % 3 == 0;
        const Duration delay = late ? Duration(Millis(1'500 + world.random_() % 4'000)) : HOP;
        const bool answered = !late && !lost && silent == 0;
        if (silent == 0) {
            world.after(delay, [this, act, done, answered] {
                const EndpointAnswer answer = act();
                if (answered) {
                    hand(HOP, [this, done, answer] {
                        EndpointAnswer told = answer;
                        told.at = world.now_;
                        done(told);
                    });
                }
            });
        }
        if (!answered) {
            hand(call.timeout, [this, done] {
                EndpointAnswer answer;
                answer.at = world.now_;
                done(answer);
            });
        }
    }

    void start(const EndpointCall &call, const RunName &run, const std::string & /*spec*/,
               std::function<void(EndpointAnswer)> done) override
    {
        const TaskGroup group = world.jobs_[run.submission].groups[run.group];
        const auto percent = static_cast<Duration::rep>(60 + world.random_() % 100);
        const bool fails = failing > 0 || world.random_() % 60 == 0;
        order(
            call,
            [this, call, run, group, percent, fails] {
                return endpoint.start(call, run, group.declared * percent / 100, fails, group.demand, world.now_);
            },
            std::move(done));
    }

    void stop(const EndpointCall &call, const RunName &run, std::function<void(EndpointAnswer)> done) override
    {
        order(
            call,
            [this, call, run] {
                return endpoint.stop(call, run, world.now_);
            },
            std::move(done));
    }

    void look(const EndpointCall &call, std::uint64_t acknowledged, Millis wait, std::function<void(EndpointView)> done) override
    {
        if (!endpoint.up || silent > 0) {
            const bool refused = !endpoint.up;
            hand(refused ? HOP : call.timeout, [this, done, refused] {
                EndpointView view;
                view.answer.at = world.now_;
                view.answer.status = refused ? EndpointCallStatus::ConnectionRefused : EndpointCallStatus::NoAnswer;
                done(view);
            });
            return;
        }
        world.after(HOP, [this, call, acknowledged, wait, done] {
            endpoint.look(call, acknowledged, world.now_);
            waitForEnd(call, acknowledged, world.now_ + wait, done);
        });
    }

    void waitForEnd(const EndpointCall &call, std::uint64_t acknowledged, Instant until, const std::function<void(EndpointView)> &done)
    {
        endpoint.advance(world.now_);
        if (!endpoint.hasEnds() && world.now_ < until) {
            world.after(Millis(5), [this, call, acknowledged, until, done] {
                waitForEnd(call, acknowledged, until, done);
            });
            return;
        }
        EndpointView view = endpoint.look(call, acknowledged, world.now_);
        if (silent > 0) {
            view = EndpointView();
        }
        hand(HOP, [this, done, view]() mutable {
            view.answer.at = world.now_;
            done(view);
        });
    }

    RepeatWorld &world;
    int number;
    TraceLog log;
    FakeEndpoint endpoint;
    Incarnation incarnation = INVALID_INCARNATION;
    std::unique_ptr<RepeatAgent> core;
    Instant frozenUntil;
    Instant stopAt = NEVER;
    int silent = 0;
    int lateOrders = 0;
    int lostAnswers = 0;
    int failing = 0;
};

RepeatWorld::RepeatWorld(std::uint64_t seed, int entries, int agents)
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

RepeatWorld::~RepeatWorld() = default;

Incarnation RepeatWorld::agentIncarnation(int agent) const
{
    return agents_[agent]->incarnation;
}

void RepeatWorld::after(Duration delay, Action action)
{
    events_.push({now_ + std::max(delay, Duration(0)), ++sequence_, std::move(action)});
}

void RepeatWorld::runUntil(Instant end)
{
    while (!events_.empty() && events_.top().at <= end) {
        const Event event = events_.top();
        events_.pop();
        now_ = std::max(now_, event.at);
        event.action();
    }
    now_ = end;
}

void RepeatWorld::startEntry(int entry)
{
    EntryNode &node = *entries_[entry];
    RepeatEntrySettings settings = entrySettings;
    settings.name = "entry" + std::to_string(entry);
    settings.zone = "a";
    settings.incarnation = node.incarnation = toIncarnation(nextIncarnation_++);
    node.core = std::make_unique<RepeatEntry>(settings, node, node, node.log);
    node.frozenUntil = Instant();
}

void RepeatWorld::startAgent(int agent)
{
    AgentNode &node = *agents_[agent];
    RepeatAgentSettings settings = agentSettings;
    settings.name = "agent" + std::to_string(agent);
    settings.zone = "a";
    settings.incarnation = node.incarnation = toIncarnation(nextIncarnation_++);
    node.core = std::make_unique<RepeatAgent>(settings, node, node, node.log);
    node.frozenUntil = Instant();
    node.stopAt = NEVER;
    noticeTick(agent);
}

void RepeatWorld::noticeTick(int agent)
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

void RepeatWorld::dropEntry(int entry, bool tell)
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

void RepeatWorld::dropAgent(int agent, bool tell)
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

void RepeatWorld::deliver(int agent, int entry, bool toEntry, repeat::Message message)
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
        RepeatEntry &core = *entries_[entry]->core;
        if (message.has_agent_hello()) {
            core.onAgentUp(message.agent_hello(), now_);
        } else {
            core.onAgentMessage(agents_[agent]->incarnation, message, now_);
        }
        core.pump(now_);
    });
}

void RepeatWorld::connect(int agent, int entry)
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

void RepeatWorld::disconnect(int agent, int entry, bool tellAgent, bool tellEntry)
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

void RepeatWorld::linkTick()
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

void RepeatWorld::coreTick()
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

RepeatJob RepeatWorld::makeJob(const std::string &id)
{
    RepeatJob job;
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

void RepeatWorld::submitNew()
{
    const std::string id = "job" + std::to_string(nextJob_++);
    jobs_[id] = makeJob(id);
    submit(id, 1);
}

void RepeatWorld::submit(const std::string &id, int tries)
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
    const RepeatJob &job = jobs_[id];
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
        entries_[entry]->core->pump(now_);
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

void RepeatWorld::giveUp(std::uint64_t token, bool resubmit)
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
                entries_[submission.entry]->core->onCallerGone(CallerToken{token}, now_);
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

void RepeatWorld::onAnswer(std::uint64_t token, const JobOutcome &outcome)
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

void RepeatWorld::begin(const TroubleEvent &event)
{
    const int entry = event.target % static_cast<int>(entries_.size());
    const int agent = event.target % static_cast<int>(agents_.size());
    AgentNode &agentNode = *agents_[agent];
    const Instant until = now_ + Millis(event.forMs);
    const auto restartEntry = [this](int which, Duration pause) {
        after(pause, [this, which] {
            if (entries_[which]->core == nullptr) {
                startEntry(which);
            }
        });
    };
    const auto restartAgent = [this](int which, Duration pause) {
        after(pause, [this, which] {
            if (agents_[which]->core == nullptr) {
                startAgent(which);
            }
        });
    };
    switch (event.kind) {
    case Trouble::KillEntry:
    case Trouble::PowerOffEntry:
        dropEntry(entry, event.kind == Trouble::KillEntry);
        restartEntry(entry, event.kind == Trouble::KillEntry ? Millis(300) : Millis(event.forMs));
        break;
    case Trouble::KillAgent:
    case Trouble::PowerOffAgent:
        dropAgent(agent, event.kind == Trouble::KillAgent);
        if (event.kind == Trouble::PowerOffAgent) {
            agentNode.endpoint.crash(now_);
        }
        restartAgent(agent, event.kind == Trouble::KillAgent ? Millis(300) : Millis(event.forMs));
        break;
    case Trouble::FreezeEntry:
        entries_[entry]->frozenUntil = std::max(entries_[entry]->frozenUntil, until);
        // After it wakes, messages that waited may be handled before its timers.
        entries_[entry]->ticksFrom = entries_[entry]->frozenUntil + Millis(random_() % 200);
        for (auto &[token, submission] : submissions_) {
            submission.entryWasFrozen = submission.entryWasFrozen || submission.entry == entry;
        }
        break;
    case Trouble::FreezeAgent:
        agentNode.frozenUntil = std::max(agentNode.frozenUntil, until);
        break;
    case Trouble::CutLink:
        ++links_[agent][static_cast<std::size_t>(event.target / 7) % entries_.size()].cuts;
        break;
    case Trouble::CutAgent:
        for (Link &link : links_[agent]) {
            ++link.cuts;
        }
        break;
    case Trouble::CrashEndpoint:
    case Trouble::RebirthEndpoint:
        agentNode.endpoint.sameId = event.kind == Trouble::RebirthEndpoint;
        agentNode.endpoint.crash(now_);
        agentNode.endpoint.up = event.kind == Trouble::RebirthEndpoint;
        break;
    case Trouble::SilentEndpoint:
        ++agentNode.silent;
        break;
    case Trouble::LateOrders:
        ++agentNode.lateOrders;
        break;
    case Trouble::LostAnswers:
        ++agentNode.lostAnswers;
        break;
    case Trouble::SlowEndpoint:
        agentNode.endpoint.slow = 5;
        break;
    case Trouble::FailingEndpoint:
        ++agentNode.failing;
        break;
    case Trouble::DrainEndpoint:
        agentNode.endpoint.draining = true;
        break;
    case Trouble::KillAll:
        for (int which = 0; which < static_cast<int>(entries_.size()); ++which) {
            dropEntry(which, true);
            restartEntry(which, Millis(400 + random_() % 600));
        }
        for (int which = 0; which < static_cast<int>(agents_.size()); ++which) {
            dropAgent(which, true);
            agents_[which]->endpoint.crash(now_);
            restartAgent(which, Millis(400 + random_() % 600));
        }
        break;
    case Trouble::StopAgent:
        if (agentNode.core != nullptr && !isFrozen(agentNode.frozenUntil)) {
            agentNode.core->startDraining(now_);
            agentNode.stopAt = now_;
        }
        break;
    case Trouble::HangingEndpoint:
        agentNode.endpoint.hang = true;
        break;
    }
}

void RepeatWorld::end(const TroubleEvent &event)
{
    const int agent = event.target % static_cast<int>(agents_.size());
    AgentNode &agentNode = *agents_[agent];
    switch (event.kind) {
    case Trouble::CutLink:
        --links_[agent][static_cast<std::size_t>(event.target / 7) % entries_.size()].cuts;
        break;
    case Trouble::CutAgent:
        for (Link &link : links_[agent]) {
            --link.cuts;
        }
        break;
    case Trouble::CrashEndpoint:
        agentNode.endpoint.up = true;
        break;
    case Trouble::SilentEndpoint:
        --agentNode.silent;
        break;
    case Trouble::LateOrders:
        --agentNode.lateOrders;
        break;
    case Trouble::LostAnswers:
        --agentNode.lostAnswers;
        break;
    case Trouble::SlowEndpoint:
        agentNode.endpoint.slow = 1;
        break;
    case Trouble::FailingEndpoint:
        --agentNode.failing;
        break;
    case Trouble::DrainEndpoint:
        agentNode.endpoint.crash(now_);
        break;
    case Trouble::HangingEndpoint:
        agentNode.endpoint.hang = false;
        break;
    default:
        break;
    }
}

void RepeatWorld::play(const std::vector<TroubleEvent> &troubles, int forMs, int jobsPerSecond)
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
