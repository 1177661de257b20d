/** @file relay_table.cpp Relayed requests and recorded answers. */

#include "entry_logic/relay_table.h"

#include <algorithm>

namespace medlarmill
{

RelayTable::RelayTable(std::size_t maxRelayedRequests, std::size_t maxRecordedAnswers, Duration retention)
    : maxRelayedRequests_(maxRelayedRequests)
    , maxRecordedAnswers_(maxRecordedAnswers)
    , retention_(retention)
{ }

RelayedRequest *RelayTable::add(const RequestKey &key, RelayedRequest relay)
{
    const auto found = relays_.find(key);
    if (found != relays_.end()) {
        for (const Waiter &waiter : relay.waiters) {
            if (std::ranges::find(found->second.waiters, waiter) == found->second.waiters.end()) {
                found->second.waiters.push_back(waiter);
            }
        }
        return &found->second;
    }
    if (relays_.size() >= maxRelayedRequests_) {
        return nullptr;
    }
    return &relays_.emplace(key, std::move(relay)).first->second;
}

RelayedRequest RelayTable::take(const RequestKey &key)
{
    const auto found = relays_.find(key);
    if (found == relays_.end()) {
        return {};
    }
    RelayedRequest relay = std::move(found->second);
    relays_.erase(found);
    return relay;
}

std::vector<RequestKey> RelayTable::dueRequests(Instant now) const
{
    std::vector<RequestKey> due;
    for (const auto &[key, relay] : relays_) {
        if (now >= relay.retryAt) {
            due.push_back(key);
        }
    }
    return due;
}

RelayedRequest *RelayTable::find(const RequestKey &key)
{
    const auto found = relays_.find(key);
    return found == relays_.end() ? nullptr : &found->second;
}

void RelayTable::makeAllDue(Instant now)
{
    for (auto &[key, relay] : relays_) {
        relay.retryAt = now;
    }
}

bool RelayTable::recordAnswer(Incarnation home, const wire::Answer &answer, Instant now)
{
    if (expiries_.size() >= maxRecordedAnswers_) {
        return false;
    }
    if (recorded_[home].emplace(answer.submission_id(), answer).second) {
        expiries_.push_back({now + retention_, home, answer.submission_id()});
    }
    return true;
}

std::vector<wire::Answer> RelayTable::recordedAnswers(Incarnation home) const
{
    std::vector<wire::Answer> answers;
    const auto found = recorded_.find(home);
    if (found == recorded_.end()) {
        return answers;
    }
    for (const auto &[id, answer] : found->second) {
        answers.push_back(answer);
    }
    return answers;
}

const wire::Answer *RelayTable::findRecordedAnswer(const SubmissionId &id) const
{
    for (const auto &[home, answers] : recorded_) {
        const auto found = answers.find(id);
        if (found != answers.end()) {
            return &found->second;
        }
    }
    return nullptr;
}

std::vector<Incarnation> RelayTable::homesWithRecordedAnswers() const
{
    std::vector<Incarnation> homes;
    for (const auto &[home, answers] : recorded_) {
        homes.push_back(home);
    }
    return homes;
}

void RelayTable::expire(Instant now)
{
    while (!expiries_.empty() && expiries_.front().at <= now) {
        const auto home = recorded_.find(expiries_.front().home);
        if (home != recorded_.end()) {
            home->second.erase(expiries_.front().id);
            if (home->second.empty()) {
                recorded_.erase(home);
            }
        }
        expiries_.pop_front();
    }
}

}
