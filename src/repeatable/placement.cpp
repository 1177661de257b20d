/** @file placement.cpp State of the agents and choice of an endpoint for a task. */

#include "repeatable/placement.h"

#include <algorithm>
#include <cmath>

namespace medlarmill
{

namespace
{

constexpr double CROSS_ZONE_COST_MS = 3; ///< Cost of an endpoint in another availability zone: about two network crossings.
constexpr double LOAD_COST_MS = 12; ///< Cost of a fully loaded endpoint: orders of other entries may take its last capacity first.
constexpr double LOAD_COST_EXPONENT = 4; ///< Exponent with which that cost rises with the load.
constexpr double NON_PREFERRED_RUN_TIME_FACTOR = 1.5; ///< Ratio of run time without the preferred label to run time with it.
constexpr double SUSPECT_LOAD_COST_MS = 500; ///< Cost of a fully loaded endpoint for a task that may crash it: what runs there is lost.
constexpr Duration COLD_RAMP = Millis(10'000); ///< A cold endpoint regains its share over so long, the time allowed after an evacuation.
constexpr double AVOIDED_AGENT_COST_MS = 1'000; ///< Cost of the agent where the previous run failed, was lost or was refused.

bool hasLabel(const AgentStatus &agent, std::string_view label)
{
    return label.empty() || std::ranges::find(agent.labels, label) != agent.labels.end();
}

}

Resources AgentStatus::freeCapacity() const
{
    Resources free = reportedFree;
    for (auto order = outstandingOrders.upper_bound(lastReportedOrder); order != outstandingOrders.end(); ++order) {
        free.subtract(order->second);
    }
    return free;
}

void Placement::onLoadReport(Incarnation agent, const repeat::LoadReport &report)
{
    const auto found = agents_.find(agent);
    if (found == agents_.end() || report.stamp() < found->second.newestStamp) {
        return;
    }
    AgentStatus &status = found->second;
    status.newestStamp = report.stamp();
    status.service = report.service();
    status.accepting = report.accepting();
    status.endpointStartMs = report.endpoint_start_ms();
    status.capacity.cpu = report.cpu_total();
    status.reportedFree = {report.cpu_free(), report.mem_free(), report.gpu_free()};
    status.slowdown = report.slowdown_percent() / 100.0;
    status.coldLeft = Millis(report.cold_left_ms());
    status.lastReportedOrder = static_cast<OrderId>(report.last_order());
    status.labels.assign(report.labels().begin(), report.labels().end());
}

double Placement::coldFactor(const AgentStatus &agent) const
{
    const double left = static_cast<double>(agent.coldLeft.count()) / static_cast<double>(COLD_RAMP.count());
    return 1 + (coldExcess_ - 1) * std::min(1.0, left);
}

double Placement::cost(const AgentStatus &agent, const PlacementRequest &request) const
{
    double runMs = static_cast<double>(request.expectedRunTime.count()) / 1'000 * std::max(agent.slowdown, 0.1) * coldFactor(agent);
    const std::string &preferred = request.group->preferredLabel;
    if (!preferred.empty() && std::ranges::find(agent.labels, preferred) == agent.labels.end()) {
        runMs *= NON_PREFERRED_RUN_TIME_FACTOR;
    }
    const double used = agent.capacity.cpu == 0 ? 1 : 1 - std::min(1.0, static_cast<double>(agent.freeCapacity().cpu) / agent.capacity.cpu);
    const double loadCost = request.isCrashSuspect ? SUSPECT_LOAD_COST_MS * used : LOAD_COST_MS * std::pow(used, LOAD_COST_EXPONENT);
    return runMs + (agent.zone == zone_ ? 0 : CROSS_ZONE_COST_MS) + loadCost;
}

PlacementChoice Placement::chooseAgent(const PlacementRequest &request) const
{
    PlacementChoice best;
    double bestCost = 0;
    Resources needed = request.group->demand;
    if (request.leavesReserve) {
        needed.add(request.group->demand);
    }
    for (const auto &[incarnation, agent] : agents_) {
        if (!agent.linkUp || !agent.accepting || agent.service != request.service || isEvacuated(agent)
            || !needed.fitsInto(agent.freeCapacity())) {
            continue;
        }
        if (!hasLabel(agent, request.group->requiredLabel)) {
            continue;
        }
        if (request.group->maxPerEndpoint > 0 && request.groupTasksByAgent != nullptr) {
            const auto count = request.groupTasksByAgent->find(incarnation);
            if (count != request.groupTasksByAgent->end() && count->second >= request.group->maxPerEndpoint) {
                continue;
            }
        }
        const double totalCost = cost(agent, request) + (incarnation == request.avoidedAgent ? AVOIDED_AGENT_COST_MS : 0);
        best.hasAlternative = best.agent != INVALID_INCARNATION;
        if (best.agent == INVALID_INCARNATION || totalCost < bestCost) {
            best.agent = incarnation;
            bestCost = totalCost;
        }
    }
    return best;
}

double Placement::availableCpu(std::string_view service, std::initializer_list<std::string_view> requiredLabels) const
{
    double sum = 0;
    for (const auto &[incarnation, agent] : agents_) {
        if (!agent.linkUp || agent.service != service || isEvacuated(agent)) {
            continue;
        }
        const AgentStatus &status = agent;
        if (!std::ranges::all_of(requiredLabels, [&status](std::string_view label) {
                return hasLabel(status, label);
            })) {
            continue;
        }
        sum += agent.accepting ? agent.freeCapacity().cpu : 0;
        for (const auto &[order, demand] : agent.outstandingOrders) {
            sum += demand.cpu;
        }
    }
    return sum;
}

bool Placement::isWhollyEvacuated(std::string_view service) const
{
    bool hasEvacuated = false;
    for (const auto &[incarnation, agent] : agents_) {
        if (!agent.linkUp || agent.service != service) {
            continue;
        }
        if (!isEvacuated(agent)) {
            return false;
        }
        hasEvacuated = true;
    }
    return hasEvacuated;
}

std::size_t Placement::outstandingOrders(std::string_view zone) const
{
    std::size_t count = 0;
    for (const auto &[incarnation, agent] : agents_) {
        count += agent.zone == zone ? agent.outstandingOrders.size() : 0;
    }
    return count;
}

bool Placement::fitsNow(std::string_view service, std::span<const TaskGroup> groups, std::span<const std::string_view> claimedLabels) const
{
    absl::btree_map<Incarnation, Resources> usedByAgent;
    for (const TaskGroup &group : groups) {
        std::uint32_t left = group.dependencies.empty() ? group.count : 0;
        for (const auto &[incarnation, agent] : agents_) {
            if (left == 0) {
                break;
            }
            if (!agent.linkUp || !agent.accepting || agent.service != service || isEvacuated(agent)
                || !hasLabel(agent, group.requiredLabel)) {
                continue;
            }
            const AgentStatus &status = agent;
            if (std::ranges::any_of(claimedLabels, [&status](std::string_view label) {
                    return hasLabel(status, label);
                })) {
                continue;
            }
            Resources free = agent.freeCapacity();
            free.subtract(usedByAgent[incarnation]);
            const std::uint32_t limit = group.maxPerEndpoint > 0 ? std::min(left, group.maxPerEndpoint) : left;
            for (std::uint32_t placed = 0; placed < limit && group.demand.fitsInto(free); ++placed, --left) {
                free.subtract(group.demand);
                usedByAgent[incarnation].add(group.demand);
            }
        }
        if (left > 0) {
            return false;
        }
    }
    return true;
}

}
