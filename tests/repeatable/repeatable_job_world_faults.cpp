/** @file repeatable_job_world_faults.cpp Effects of injected faults on a RepeatableJobWorld. */

#include "repeatable_job_world_nodes.h"

#include <algorithm>

namespace medlarmill::fake
{

namespace
{

constexpr Duration CRASH_DELAY = Millis(10); ///< From the start of a crashing task to the crash.
constexpr Duration CRASH_TIME = Millis(3'000); ///< From a crash to the return of the endpoint.

}

void RepeatableJobWorld::beginFault(const FaultEvent &event)
{
    const int entry = event.target % static_cast<int>(entries_.size());
    const int agent = event.target % static_cast<int>(agents_.size());
    AgentNode &agentNode = *agents_[agent];
    const Instant until = now_ + Millis(event.durationMs);
    const auto restartEntry = [this](int which, Duration pause) {
        schedule(pause, [this, which] {
            if (entries_[which]->core == nullptr) {
                startEntry(which);
            }
        });
    };
    const auto restartAgent = [this](int which, Duration pause) {
        schedule(pause, [this, which] {
            if (agents_[which]->core == nullptr) {
                startAgent(which);
            }
        });
    };
    switch (event.kind) {
    case Fault::KillEntry:
    case Fault::PowerOffEntry:
        terminateEntry(entry, event.kind == Fault::KillEntry);
        restartEntry(entry, event.kind == Fault::KillEntry ? Millis(300) : Millis(event.durationMs));
        break;
    case Fault::KillAgent:
    case Fault::PowerOffAgent:
        terminateAgent(agent, event.kind == Fault::KillAgent);
        if (event.kind == Fault::PowerOffAgent) {
            agentNode.endpoint.crash(now_);
        }
        restartAgent(agent, event.kind == Fault::KillAgent ? Millis(300) : Millis(event.durationMs));
        break;
    case Fault::FreezeEntry:
        entries_[entry]->frozenUntil = std::max(entries_[entry]->frozenUntil, until);
        // After the pause, messages that were held back may be processed before the timers run.
        entries_[entry]->timersFrom = entries_[entry]->frozenUntil + Millis(random_() % 200);
        for (auto &[token, submission] : submissions_) {
            submission.entryWasFrozen = submission.entryWasFrozen || submission.entry == entry;
        }
        break;
    case Fault::FreezeAgent:
        agentNode.frozenUntil = std::max(agentNode.frozenUntil, until);
        break;
    case Fault::CutLink:
        ++links_[agent][static_cast<std::size_t>(event.target / 7) % entries_.size()].cuts;
        break;
    case Fault::CutAgent:
        for (Link &link : links_[agent]) {
            ++link.cuts;
        }
        break;
    case Fault::CrashEndpoint:
    case Fault::RestartEndpointSameId:
        agentNode.endpoint.keepsId = event.kind == Fault::RestartEndpointSameId;
        agentNode.endpoint.crash(now_);
        agentNode.endpoint.up = event.kind == Fault::RestartEndpointSameId;
        break;
    case Fault::UnresponsiveEndpoint:
        ++agentNode.unresponsive;
        break;
    case Fault::DelayedCalls:
        ++agentNode.delayedCalls;
        break;
    case Fault::LostReplies:
        ++agentNode.lostReplies;
        break;
    case Fault::SlowEndpoint:
        agentNode.endpoint.slowdown = 5;
        break;
    case Fault::FailingEndpoint:
        ++agentNode.failing;
        break;
    case Fault::DrainEndpoint:
        agentNode.endpoint.draining = true;
        break;
    case Fault::KillAll:
        for (int which = 0; which < static_cast<int>(entries_.size()); ++which) {
            terminateEntry(which, true);
            restartEntry(which, Millis(400 + random_() % 600));
        }
        for (int which = 0; which < static_cast<int>(agents_.size()); ++which) {
            terminateAgent(which, true);
            agents_[which]->endpoint.crash(now_);
            restartAgent(which, Millis(400 + random_() % 600));
        }
        break;
    case Fault::StopAgent:
        if (agentNode.core != nullptr && !isFrozen(agentNode.frozenUntil)) {
            agentNode.core->startDraining(now_);
            agentNode.stopStartedAt = now_;
        }
        break;
    case Fault::StalledRuns:
        agentNode.endpoint.stalled = true;
        break;
    case Fault::ShrinkEndpoint:
        agentNode.endpoint.resize({7'000, 4'096, 0}, now_);
        break;
    case Fault::RefusedConnections:
        ++agentNode.refusing;
        break;
    case Fault::UnheardDeregistration:
        agentNode.schedule(NETWORK_DELAY, [&agentNode, id = agentNode.endpoint.notice(now_).id] {
            EndpointNotice gone;
            gone.id = id;
            gone.terminated = true;
            agentNode.core->onNotice(gone, agentNode.world.now_);
        });
        break;
    case Fault::ClockSetBack:
        agentNode.endpoint.keepsId = true;
        agentNode.endpoint.wallClockOffsetMs -= 600'000;
        agentNode.endpoint.clockStartMs = random_() % 7'200'000;
        agentNode.endpoint.crash(now_);
        break;
    }
}

bool RepeatableJobWorld::crashesEndpoint(const RunName &run) const
{
    return run.group == 0 && run.index == 0 && crashingJobs_.contains(run.submission);
}

void RepeatableJobWorld::crashSoon(int agent, const RunName &run)
{
    schedule(CRASH_DELAY, [this, agent, run] {
        FakeEndpoint &endpoint = agents_[agent]->endpoint;
        if (!endpoint.up || !endpoint.isRunning(run)) {
            return;
        }
        oracle_.onCrash(run);
        endpoint.keepsId = false;
        endpoint.crash(now_);
        endpoint.up = false;
        schedule(CRASH_TIME, [&endpoint] {
            endpoint.up = true;
        });
    });
}

void RepeatableJobWorld::endFault(const FaultEvent &event)
{
    const int agent = event.target % static_cast<int>(agents_.size());
    AgentNode &agentNode = *agents_[agent];
    switch (event.kind) {
    case Fault::CutLink:
        --links_[agent][static_cast<std::size_t>(event.target / 7) % entries_.size()].cuts;
        break;
    case Fault::CutAgent:
        for (Link &link : links_[agent]) {
            --link.cuts;
        }
        break;
    case Fault::CrashEndpoint:
        agentNode.endpoint.up = true;
        break;
    case Fault::UnresponsiveEndpoint:
        --agentNode.unresponsive;
        break;
    case Fault::DelayedCalls:
        --agentNode.delayedCalls;
        break;
    case Fault::LostReplies:
        --agentNode.lostReplies;
        break;
    case Fault::SlowEndpoint:
        agentNode.endpoint.slowdown = 1;
        break;
    case Fault::FailingEndpoint:
        --agentNode.failing;
        break;
    case Fault::DrainEndpoint:
        agentNode.endpoint.crash(now_);
        break;
    case Fault::StalledRuns:
        agentNode.endpoint.stalled = false;
        break;
    case Fault::ShrinkEndpoint:
        agentNode.endpoint.resize(FULL_CAPACITY, now_);
        break;
    case Fault::RefusedConnections:
        --agentNode.refusing;
        break;
    default:
        break;
    }
}

}
