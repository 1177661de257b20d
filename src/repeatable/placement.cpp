/** @file placement.cpp The choice of an endpoint for a task. */

#include "repeatable/placement.h"

#include <algorithm>
#include <cmath>

namespace medlarmill
{

namespace
{

constexpr double OTHER_ZONE_MS = 3; ///< Added cost of another availability zone: about two crossings.
constexpr double FULL_MS = 12; ///< Added cost of an endpoint that is nearly full: orders of other entries may take the room first.
constexpr double FULL_POWER = 4; ///< How sharply that cost rises with the load.
constexpr double AWAY_FACTOR = 1.5; ///< Run time away from the preferred label against run time there.
constexpr double AVOID_MS = 1'000; ///< Added cost of the endpoint where the task was lost before.

}

Demand AgentStatus::room() const
{
    Demand room = reported;
    for (auto order = outstanding.upper_bound(reportedOrder); order != outstanding.end(); ++order) {
        room.take(order->second);
    }
    return room;
}

void Placement::onReport(Incarnation agent, const repeat::LoadReport &report)
{
    const auto found = agents_.find(agent);
    if (found == agents_.end() || report.stamp() < found->second.stamp) {
        return;
    }
    AgentStatus &view = found->second;
    view.stamp = report.stamp();
    view.service = report.service();
    view.accepting = report.accepting();
    view.total.cpu = report.cpu_total();
    view.reported = {report.cpu_free(), report.mem_free(), report.gpu_free()};
    view.queued = report.queued();
    view.slowdown = report.slowdown_percent() / 100.0;
    view.reportedOrder = static_cast<OrderId>(report.last_order());
    view.labels.assign(report.labels().begin(), report.labels().end());
}

double Placement::cost(const AgentStatus &agent, const PlacementRequest &request) const
{
    double runMs = static_cast<double>(request.expected.count()) / 1'000 * std::max(agent.slowdown, 0.1);
    const std::string &preferred = request.group->preferredLabel;
    if (!preferred.empty() && std::ranges::find(agent.labels, preferred) == agent.labels.end()) {
        runMs *= AWAY_FACTOR;
    }
    const double used = agent.total.cpu == 0 ? 1 : 1 - std::min(1.0, static_cast<double>(agent.room().cpu) / agent.total.cpu);
    return runMs + (agent.zone == zone_ ? 0 : OTHER_ZONE_MS) + FULL_MS * std::pow(used, FULL_POWER);
}

Incarnation Placement::choose(const PlacementRequest &request) const
{
    Incarnation best = INVALID_INCARNATION;
    double bestCost = 0;
    for (const auto &[incarnation, agent] : agents_) {
        if (!agent.up || !agent.accepting || agent.service != request.service || !request.group->demand.fitsInto(agent.room())) {
            continue;
        }
        const std::string &required = request.group->requiredLabel;
        if (!required.empty() && std::ranges::find(agent.labels, required) == agent.labels.end()) {
            continue;
        }
        if (request.group->maxPerEndpoint > 0 && request.perAgent != nullptr) {
            const auto count = request.perAgent->find(incarnation);
            if (count != request.perAgent->end() && count->second >= request.group->maxPerEndpoint) {
                continue;
            }
        }
        const double price = cost(agent, request) + (incarnation == request.avoid ? AVOID_MS : 0);
        if (best == INVALID_INCARNATION || price < bestCost) {
            best = incarnation;
            bestCost = price;
        }
    }
    return best;
}

std::uint64_t Placement::capacity(std::string_view service) const
{
    std::uint64_t sum = 0;
    for (const auto &[incarnation, agent] : agents_) {
        if (agent.up && agent.accepting && agent.service == service) {
            sum += agent.total.cpu;
        }
    }
    return sum;
}

}
