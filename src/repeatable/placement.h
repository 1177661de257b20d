/** @file placement.h An entry's view of the endpoints, and the choice of one for a task. */

#pragma once

#include "repeatable/repeatable_job_type.h"
#include "wire/generated/repeat.pb.h"

#include <absl/container/btree_map.h>
#include <string>
#include <string_view>
#include <vector>

namespace medlarmill
{

/** What an entry knows of one agent and the endpoint beside it. */
struct AgentStatus
{
    std::string name; ///< Name of the agent.
    std::string zone; ///< Availability zone.
    std::string service; ///< Service of its endpoint; empty when it has none.
    std::vector<std::string> labels; ///< Kind and rack of the endpoint.
    Resources capacity; ///< All room; only `cpu` is told.
    Resources reportedFree; ///< Free room in the newest report.
    std::uint32_t queuedRuns = 0; ///< Runs that waited at the agent in the newest report.
    double slowdown = 1; ///< Measured run time against expected run time.
    bool accepting = false; ///< It takes work.
    bool linkUp = false; ///< There is a link, and it is not silent.
    OrderId lastReportedOrder = INVALID_ORDER_ID; ///< Orders up to this one are counted in `reported`.
    std::uint64_t newestStamp = 0; ///< Newest stamp.
    Instant lastMessageAt; ///< When the newest message came.
    Instant busySince; ///< Since when there have been outstanding orders.
    Instant lastStampSentAt; ///< When this entry last proved its life to the agent.
    Instant linkDownAt = NEVER; ///< When the link went down; this entry has quoted no stamp since.
    absl::btree_map<OrderId, Resources> outstandingOrders; ///< Orders that are not over.

    /** @return room after the orders that the newest report does not count yet. */
    Resources freeCapacity() const;
};

/** What a task needs of an endpoint. */
struct PlacementRequest
{
    const TaskGroup *group = nullptr; ///< The task's group.
    std::string_view service; ///< Service.
    Duration expectedRunTime{0}; ///< Expected run time.
    Incarnation avoidedAgent = INVALID_INCARNATION; ///< Agent to be used only when there is no other.
    const absl::btree_map<Incarnation, std::uint32_t> *groupTasksByAgent = nullptr; ///< Tasks of the group at each agent; for a limit.
};

/** Chooses endpoints. */
class Placement
{
public:
    /** @param zone availability zone of the entry. */
    explicit Placement(std::string zone)
        : zone_(std::move(zone))
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

    /** Takes in a load report. @param agent the sender. @param report the report. */
    void onLoadReport(Incarnation agent, const repeat::LoadReport &report);

    /** Chooses the endpoint where the task is expected to end first. @param request the task. @return the agent, or INVALID_INCARNATION
     * when none has room. */
    Incarnation chooseAgent(const PlacementRequest &request) const;

    /** @param service a service. @return thousandths of a core of all its endpoints that take work. */
    std::uint64_t capacity(std::string_view service) const;

private:
    double cost(const AgentStatus &agent, const PlacementRequest &request) const;

    std::string zone_;
    absl::btree_map<Incarnation, AgentStatus> agents_;
};

}
