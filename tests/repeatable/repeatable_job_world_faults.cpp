/** @file repeatable_job_world_faults.cpp What troubles do to a RepeatableJobWorld. */

#include "repeatable_job_world_nodes.h"

#include <algorithm>

namespace medlarmill::fake
{

void RepeatableJobWorld::begin(const TroubleEvent &event)
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

void RepeatableJobWorld::end(const TroubleEvent &event)
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

}
