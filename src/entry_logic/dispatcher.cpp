/** @file dispatcher.cpp Task queue and scheduler of one entry. */

#include "entry_logic/dispatcher.h"

#include <algorithm>

namespace medlarmill
{

namespace
{

constexpr std::uint32_t LOCAL_ZONE_BONUS = 1U << 20U; ///< Ranks agents in the availability zone of this entry above all others.
constexpr std::int64_t WORK_FACTOR = 16; ///< Later arrivals can delay a job by up to this multiple of its own expected duration.

}

Dispatcher::AgentRank Dispatcher::agentRank(Incarnation agent, std::uint32_t credits, bool isLocal)
{
    return {credits + (isLocal ? LOCAL_ZONE_BONUS : 0), agent};
}

void Dispatcher::removeFromIndex(ServiceQueue &queue, Incarnation agent, const AgentState &state)
{
    if (state.quarantined) {
        return;
    }
    queue.general.erase(agentRank(agent, state.credits.general, state.isLocal));
    queue.shortOnly.erase(agentRank(agent, state.credits.shortOnly, state.isLocal));
    queue.credits -= state.credits.total();
}

void Dispatcher::addToIndex(ServiceQueue &queue, Incarnation agent, const AgentState &state)
{
    if (state.quarantined) {
        return;
    }
    if (state.credits.general > 0) {
        queue.general.insert(agentRank(agent, state.credits.general, state.isLocal));
    }
    if (state.credits.shortOnly > 0) {
        queue.shortOnly.insert(agentRank(agent, state.credits.shortOnly, state.isLocal));
    }
    queue.credits += state.credits.total();
}

void Dispatcher::addAgent(Incarnation agent, std::string_view service, bool isLocal)
{
    removeAgent(agent);
    agents_[agent] = {std::string(service), isLocal, {}};
    quarantine_.add(agent);
}

void Dispatcher::removeAgent(Incarnation agent)
{
    const auto found = agents_.find(agent);
    if (found == agents_.end()) {
        return;
    }
    removeFromIndex(services_[found->second.service], agent, found->second);
    agents_.erase(found);
    quarantine_.remove(agent);
}

void Dispatcher::addCredits(Incarnation agent, Credits credits)
{
    const auto found = agents_.find(agent);
    if (found == agents_.end()) {
        return;
    }
    AgentState &state = found->second;
    ServiceQueue &queue = services_[state.service];
    removeFromIndex(queue, agent, state);
    state.credits.general += credits.general;
    state.credits.shortOnly += credits.shortOnly;
    addToIndex(queue, agent, state);
}

void Dispatcher::enqueue(std::string_view service, std::string_view team, std::uint32_t weight, JobSequence job,
                         std::vector<WaitingTask> tasks, std::uint32_t slots, Instant now)
{
    if (tasks.empty()) {
        return;
    }
    ServiceQueue &queue = services_[std::string(service)];
    TeamQueue &teamQueue = queue.teams[std::string(team)];
    if (teamQueue.waiting == 0) {
        for (const auto &[name, other] : queue.teams) {
            if (other.waiting > 0) {
                teamQueue.virtualTime = std::max(teamQueue.virtualTime, other.virtualTime);
                break;
            }
        }
    }
    teamQueue.weight = std::max(weight, 1U);
    std::ranges::stable_sort(tasks, std::ranges::greater(), &WaitingTask::expected);

    auto [position, isNew] = queue.jobs.try_emplace(job);
    WaitingJob &waitingJob = position->second;
    Duration work{0};
    for (const WaitingTask &task : tasks) {
        work += task.expected;
        (task.isLong ? waitingJob.longTasks : waitingJob.shortTasks).push_back(task);
    }
    if (isNew) {
        waitingJob.team = team;
        waitingJob.arrival = now.time_since_epoch().count();
        waitingJob.slots = std::max(slots, 1U);
    }
    waitingJob.remaining += work;
    updateJobIndex(teamQueue, waitingJob, job);
    const auto count = static_cast<std::uint32_t>(tasks.size());
    teamQueue.waiting += count;
    queue.waiting += count;
    queue.backlog += work;
}

std::int64_t Dispatcher::rankTime(const WaitingJob &job)
{
    return job.arrival + WORK_FACTOR * job.remaining.count() / job.slots;
}

void Dispatcher::updateJobIndex(TeamQueue &team, WaitingJob &job, JobSequence sequence)
{
    team.jobsWithShort.erase(job.rank);
    team.jobsWithLong.erase(job.rank);
    job.rank = {rankTime(job), sequence};
    if (!job.shortTasks.empty()) {
        team.jobsWithShort.insert(job.rank);
    }
    if (!job.longTasks.empty()) {
        team.jobsWithLong.insert(job.rank);
    }
}

std::optional<Instant> Dispatcher::headRank(std::string_view service) const
{
    const ServiceQueue *queue = find(service);
    std::optional<Instant> best;
    if (queue == nullptr) {
        return best;
    }
    for (const auto &[name, team] : queue->teams) {
        for (const auto *jobs : {&team.jobsWithShort, &team.jobsWithLong}) {
            if (!jobs->empty()) {
                const Instant rank{Duration(jobs->begin()->first)};
                best = best ? std::min(*best, rank) : rank;
            }
        }
    }
    return best;
}

std::vector<WaitingJobSummary> Dispatcher::mostUrgentJobs(std::string_view service, std::size_t count) const
{
    absl::btree_map<Rank, std::uint32_t> best;
    const ServiceQueue *queue = find(service);
    if (queue == nullptr) {
        return {};
    }
    for (const auto &[name, team] : queue->teams) {
        for (const auto *jobs : {&team.jobsWithShort, &team.jobsWithLong}) {
            std::size_t listed = 0;
            for (const Rank &rank : *jobs) {
                if (listed++ == count) {
                    break;
                }
                const WaitingJob &job = queue->jobs.find(rank.second)->second;
                best[rank] = static_cast<std::uint32_t>(job.shortTasks.size() + job.longTasks.size());
            }
        }
    }
    std::vector<WaitingJobSummary> top;
    for (const auto &[rank, tasks] : best) {
        if (top.size() == count) {
            break;
        }
        top.push_back({Instant{Duration(rank.first)}, tasks});
    }
    return top;
}

void Dispatcher::cancel(std::string_view service, JobSequence job)
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return;
    }
    ServiceQueue &queue = found->second;
    const auto position = queue.jobs.find(job);
    if (position == queue.jobs.end()) {
        return;
    }
    WaitingJob &waitingJob = position->second;
    TeamQueue &team = queue.teams[waitingJob.team];
    team.jobsWithShort.erase(waitingJob.rank);
    team.jobsWithLong.erase(waitingJob.rank);
    for (const auto *tasks : {&waitingJob.shortTasks, &waitingJob.longTasks}) {
        for (const WaitingTask &task : *tasks) {
            queue.backlog -= task.expected;
        }
        team.waiting -= static_cast<std::uint32_t>(tasks->size());
        queue.waiting -= static_cast<std::uint32_t>(tasks->size());
    }
    queue.jobs.erase(position);
}

void Dispatcher::updateQuarantine(Incarnation agent, AgentState &state, Instant now)
{
    const bool quarantined = !quarantine_.isUsable(agent, now);
    if (quarantined == state.quarantined) {
        return;
    }
    ServiceQueue &queue = services_[state.service];
    removeFromIndex(queue, agent, state);
    state.quarantined = quarantined;
    addToIndex(queue, agent, state);
}

bool Dispatcher::onTaskOutcome(Incarnation agent, bool success, Instant now)
{
    const bool changed = quarantine_.onTaskOutcome(agent, success, now);
    const auto found = agents_.find(agent);
    if (found != agents_.end()) {
        updateQuarantine(agent, found->second, now);
    }
    return changed;
}

void Dispatcher::tick(Instant now)
{
    if (quarantine_.quarantinedCount() == 0) {
        return;
    }
    for (auto &[agent, state] : agents_) {
        updateQuarantine(agent, state, now);
    }
}

Incarnation Dispatcher::chooseAgent(const absl::btree_set<AgentRank> &agents)
{
    return agents.empty() ? INVALID_INCARNATION : agents.rbegin()->second;
}

std::optional<Dispatcher::Choice> Dispatcher::chooseTask(ServiceQueue &queue, bool allowLong)
{
    std::optional<Choice> best;
    for (auto &[name, team] : queue.teams) {
        const bool hasLong = allowLong && !team.jobsWithLong.empty();
        if (team.jobsWithShort.empty() && !hasLong) {
            continue;
        }
        if (best && best->team->virtualTime <= team.virtualTime) {
            continue;
        }
        const bool longFirst = hasLong && (team.jobsWithShort.empty() || *team.jobsWithLong.begin() < *team.jobsWithShort.begin());
        best = Choice{&team, longFirst ? *team.jobsWithLong.begin() : *team.jobsWithShort.begin(), longFirst};
    }
    return best;
}

WaitingTask Dispatcher::takeTask(ServiceQueue &queue, const Choice &choice)
{
    WaitingJob &job = queue.jobs[choice.rank.second];
    std::deque<WaitingTask> &tasks = choice.isLong ? job.longTasks : job.shortTasks;
    const WaitingTask task = tasks.front();
    tasks.pop_front();
    job.remaining -= task.expected;
    updateJobIndex(*choice.team, job, choice.rank.second);
    choice.team->virtualTime += static_cast<double>(task.expected.count()) / choice.team->weight;
    --choice.team->waiting;
    --queue.waiting;
    queue.backlog -= task.expected;
    ++queue.granted;
    if (job.shortTasks.empty() && job.longTasks.empty()) {
        queue.jobs.erase(choice.rank.second);
    }
    return task;
}

std::optional<Assignment> Dispatcher::next(std::string_view service, Instant now)
{
    const auto found = services_.find(service);
    if (found == services_.end() || found->second.waiting == 0 || found->second.credits == 0) {
        return std::nullopt;
    }
    ServiceQueue &queue = found->second;
    if (queue.limit != 0 && queue.granted >= queue.limit) {
        return std::nullopt;
    }
    const Incarnation general = chooseAgent(queue.general);
    const Incarnation shortOnly = chooseAgent(queue.shortOnly);
    if (general == INVALID_INCARNATION && shortOnly == INVALID_INCARNATION) {
        return std::nullopt;
    }
    const auto choice = chooseTask(queue, general != INVALID_INCARNATION);
    if (!choice) {
        return std::nullopt;
    }
    const bool useShort = !choice->isLong && shortOnly != INVALID_INCARNATION;
    const Incarnation agent = useShort ? shortOnly : general;
    const JobSequence job = choice->rank.second;
    const WaitingTask task = takeTask(queue, *choice);

    AgentState &state = agents_[agent];
    removeFromIndex(queue, agent, state);
    --(useShort ? state.credits.shortOnly : state.credits.general);
    addToIndex(queue, agent, state);
    quarantine_.onGrant(agent);
    updateQuarantine(agent, state, now);
    return Assignment{job, task.index, agent, choice->isLong, useShort};
}

absl::btree_map<Incarnation, Credits> Dispatcher::takeIdleCredits(std::string_view service, std::uint32_t wanted)
{
    absl::btree_map<Incarnation, Credits> taken;
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return taken;
    }
    ServiceQueue &queue = found->second;
    while (wanted > 0 && queue.credits > 0) {
        const bool fromGeneral = !queue.general.empty();
        const Incarnation agent = (fromGeneral ? *queue.general.begin() : *queue.shortOnly.begin()).second;
        AgentState &state = agents_[agent];
        std::uint32_t &credits = fromGeneral ? state.credits.general : state.credits.shortOnly;
        const std::uint32_t amount = std::min(credits, wanted);
        removeFromIndex(queue, agent, state);
        credits -= amount;
        addToIndex(queue, agent, state);
        (fromGeneral ? taken[agent].general : taken[agent].shortOnly) += amount;
        wanted -= amount;
    }
    return taken;
}

void Dispatcher::onTaskEnded(std::string_view service)
{
    const auto found = services_.find(service);
    if (found != services_.end() && found->second.granted > 0) {
        --found->second.granted;
    }
}

void Dispatcher::setConcurrencyLimit(std::string_view service, std::uint32_t limit)
{
    services_[std::string(service)].limit = limit;
}

const Dispatcher::ServiceQueue *Dispatcher::find(std::string_view service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

std::uint32_t Dispatcher::waiting(std::string_view service) const
{
    const ServiceQueue *queue = find(service);
    return queue == nullptr ? 0 : queue->waiting;
}

std::uint32_t Dispatcher::teamWaiting(std::string_view service, std::string_view team) const
{
    const ServiceQueue *queue = find(service);
    if (queue == nullptr) {
        return 0;
    }
    const auto found = queue->teams.find(team);
    return found == queue->teams.end() ? 0 : found->second.waiting;
}

Duration Dispatcher::backlog(std::string_view service) const
{
    const ServiceQueue *queue = find(service);
    return queue == nullptr ? Duration{0} : queue->backlog;
}

std::uint32_t Dispatcher::idleCredits(std::string_view service) const
{
    const ServiceQueue *queue = find(service);
    return queue == nullptr ? 0 : queue->credits;
}

std::uint32_t Dispatcher::granted(std::string_view service) const
{
    const ServiceQueue *queue = find(service);
    return queue == nullptr ? 0 : queue->granted;
}

std::vector<std::string> Dispatcher::servicesWithWaitingTasks() const
{
    std::vector<std::string> services;
    for (const auto &[name, queue] : services_) {
        if (queue.waiting > 0) {
            services.push_back(name);
        }
    }
    return services;
}

}
