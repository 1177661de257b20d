/** @file placement.h State of the agents and endpoints as an entry knows it, and the choice of an endpoint for a task. */

#pragma once

#include "repeatable/repeatable_job_type.h"
#include "wire/generated/repeat.pb.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace medlarmill
{

/** What an entry knows about one agent and the endpoint that it manages. */
struct AgentStatus
{
    std::string name; ///< Name of the agent.
    std::string zone; ///< Availability zone.
    std::string service; ///< Service of the endpoint; empty when the agent has no endpoint.
    std::vector<std::string> labels; ///< Labels of the endpoint, such as its kind and rack.
    Resources capacity; ///< Total capacity of the endpoint; load reports carry only `cpu`.
    Resources reportedFree; ///< Free capacity according to the newest load report.
    double slowdown = 1; ///< Ratio of measured to expected run time, without what a cold start adds.
    Duration coldLeft{0}; ///< How long the endpoint stays slow after its start, according to the newest load report.
    bool accepting = false; ///< The endpoint accepts work.
    bool linkUp = false; ///< The link is connected and has not timed out.
    std::uint64_t endpointStartMs = 0; ///< Start time of the endpoint process that labels and capacity describe; 0 when unknown.
    OrderId lastReportedOrder = INVALID_ORDER_ID; ///< Orders with numbers up to this one are included in `reportedFree`.
    std::uint64_t newestStamp = 0; ///< Newest stamp of the agent's clock; sending it back proves that this entry is alive.
    Instant lastMessageAt; ///< When the newest message arrived.
    Instant busySince; ///< When `outstandingOrders` last became non-empty.
    Instant lastStampSentAt; ///< When this entry last sent the stamp back to the agent.
    Instant linkDownAt = NEVER; ///< When the link went down; no stamp has been sent to the agent since.
    absl::btree_map<OrderId, Resources> outstandingOrders; ///< Orders for which no final report has arrived.

    /** @return free capacity: that of the newest load report, less the orders that it does not include yet. */
    Resources freeCapacity() const;
};

/** Requirements and preferences of a task for its endpoint. */
struct PlacementRequest
{
    const TaskGroup *group = nullptr; ///< Group of the task; holds demand, labels and limits.
    std::string_view service; ///< Service that the endpoint must belong to.
    bool leavesReserve = false; ///< The endpoint must have free capacity for a second such task.
    bool isCrashSuspect = false; ///< The endpoint may crash: the one with the least running is chosen.
    Duration expectedRunTime{0}; ///< Expected run time of the task.
    Incarnation avoidedAgent = INVALID_INCARNATION; ///< Agent that is chosen only when the others cost much more or have no free capacity.
    const absl::btree_map<Incarnation, std::uint32_t> *groupTasksByAgent = nullptr; ///< Tasks of the group; may be null.
};

/** Endpoint chosen for a task. */
struct PlacementChoice
{
    Incarnation agent = INVALID_INCARNATION; ///< Agent of the endpoint; INVALID_INCARNATION when none is suitable and has free capacity.
    bool hasAlternative = false; ///< Another suitable endpoint has free capacity, too.
};

/** Keeps the state of all agents and chooses endpoints for tasks. */
class Placement
{
public:
    /** @param zone availability zone of the entry. @param coldExcess ratio of run time at an endpoint that is still cold to run time at a
     * warm one. */
    explicit Placement(std::string zone, double coldExcess = 1)
        : zone_(std::move(zone))
        , coldExcess_(coldExcess)
    { }

    /** @return all agents. */
    absl::btree_map<Incarnation, AgentStatus> &agents()
    {
        return agents_;
    }

    /** @return all agents. */
    const absl::btree_map<Incarnation, AgentStatus> &agents() const
    {
        return agents_;
    }

    /** Leaves out the endpoints of evacuated availability zones from now on. @param zones names of the zones. */
    void setEvacuatedZones(absl::btree_set<std::string> zones)
    {
        evacuatedZones_ = std::move(zones);
    }

    /** @param agent an agent. @return whether its availability zone is evacuated. */
    bool isEvacuated(const AgentStatus &agent) const
    {
        return !evacuatedZones_.empty() && evacuatedZones_.contains(agent.zone);
    }

    /** @param service a service. @return whether its linked endpoints, at least one, are all in evacuated zones. */
    bool isWhollyEvacuated(std::string_view service) const;

    /** @param zone an availability zone. @return number of orders there for which no final report has arrived. */
    std::size_t outstandingOrders(std::string_view zone) const;

    /** Stores a load report unless it is older than the last one. @param agent the sender. @param report the report. */
    void onLoadReport(Incarnation agent, const repeat::LoadReport &report);

    /** Chooses the endpoint with the lowest expected cost for a task. @param request the task. @return the endpoint. */
    PlacementChoice chooseAgent(const PlacementRequest &request) const;

    /** @param service a service. @param requiredLabels labels that endpoints must have; empty ones are not required. @return CPU of such
     * endpoints that this entry has orders on or finds free, in thousandths of a core: about the rate at which its work gets done while it
     * has a queue. */
    double availableCpu(std::string_view service, std::initializer_list<std::string_view> requiredLabels = {}) const;

    /** @param service a service. @param groups task groups of a job. @param claimedLabels endpoints with one of these labels are left out;
     * an empty label stands for all endpoints. @return whether all tasks without dependencies fit into free capacity at once. */
    bool fitsNow(std::string_view service, std::span<const TaskGroup> groups, std::span<const std::string_view> claimedLabels) const;

private:
    double cost(const AgentStatus &agent, const PlacementRequest &request) const;

    double coldFactor(const AgentStatus &agent) const;

    std::string zone_;
    double coldExcess_;
    absl::btree_map<Incarnation, AgentStatus> agents_;
    absl::btree_set<std::string> evacuatedZones_;
};

}
