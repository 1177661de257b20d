/** @file repeatable_job_entry_agents.cpp Scheduling of repeatable jobs at an entry: reports from agents and loss of agents. */

#include "core/reason_table.h"
#include "repeatable/outcome_func.h"
#include "repeatable/repeatable_job_entry.h"

#include <algorithm>
#include <fmt/format.h>

namespace medlarmill
{

namespace
{

constexpr double RUN_TIME_RATIO_WEIGHT = 0.02; ///< Weight of a new sample in the moving average of KindStats::runTimeRatio.
constexpr double MAX_RUN_TIME_RATIO = 4; ///< Upper limit of a single sample of that ratio.
constexpr Duration HELLO_DELAY_MARGIN = Millis(300); ///< Allowance for the time that a hello spent in socket buffers.
constexpr Duration PING_INTERVAL = Millis(60); ///< Minimum time between pings to an agent with orders.
constexpr Duration IDLE_PING_INTERVAL = Millis(500); ///< The same for an agent without orders; links without traffic for 1.5 s are closed.
constexpr Duration LINK_SETTLING_TIME
    = Millis(50); ///< From the first link after a time without any until the others and their load are known.
constexpr Duration SILENCE_TIMEOUT = Millis(350); ///< The link to an agent with orders is reset after so long without a message.
constexpr Duration IDLE_SILENCE_TIMEOUT = Millis(1'200); ///< The same for an agent without orders.

}

void RepeatableJobEntry::onAgentUp(const repeat::AgentHello &hello, Instant now)
{
    if (!hasConnectedAgent()) {
        linksSettleAt_ = now + LINK_SETTLING_TIME;
    }
    const Incarnation incarnation = toIncarnation(hello.incarnation());
    AgentStatus &status = placement_.agents()[incarnation];
    status.name = hello.name();
    status.zone = hello.zone();
    status.linkUp = true;
    status.accepting = false;
    status.lastMessageAt = now;
    status.linkDownAt = NEVER;
    log_.info(fmt::format("event=agent_up agent={} incarnation={:016x} zone={} runs={} outstanding={}", status.name, hello.incarnation(),
                          status.zone, hello.runs_size(), status.outstandingOrders.size()));
    absl::btree_set<OrderId> listed;
    repeat::Message cancels;
    for (const repeat::RunReport &report : hello.runs()) {
        listed.insert(static_cast<OrderId>(report.order()));
        if (report.outcome() != repeat::RUN_HELD) {
            onRunReport(incarnation, report, now);
            continue;
        }
        // The cancellation of a run whose job has ended may have been lost with the link.
        const auto order = orders_.find(static_cast<OrderId>(report.order()));
        if (order == orders_.end() || !jobs_.contains(order->second.job)) {
            cancels.mutable_run_cancel()->add_orders(report.order());
        }
    }
    if (cancels.has_run_cancel()) {
        counters_.add("entry_cancels_again", static_cast<std::uint64_t>(cancels.run_cancel().orders_size()));
        links_.sendTo(incarnation, std::move(cancels));
    }
    // The old link is closed, so an order that the agent does not list is not held there and can no longer arrive. The agent remembers
    // ended runs only for evidence_ms: an order sent before that may have run and been forgotten, so it counts as lost rather than not
    // started.
    const Instant evidenceFrom = now - Millis(hello.evidence_ms()) + HELLO_DELAY_MARGIN;
    std::vector<repeat::RunReport> unlisted;
    for (const auto &[order, demand] : status.outstandingOrders) {
        if (listed.contains(order)) {
            continue;
        }
        const bool neverReceived = orders_.at(order).sentAt > evidenceFrom;
        repeat::RunReport report;
        report.set_order(static_cast<std::uint64_t>(order));
        report.set_outcome(neverReceived ? repeat::RUN_NOT_STARTED : repeat::RUN_LOST);
        report.set_reason(static_cast<std::uint32_t>(neverReceived ? Reason::NeverSeen : Reason::AgentLost));
        unlisted.push_back(std::move(report));
    }
    for (const repeat::RunReport &report : unlisted) {
        onRunReport(incarnation, report, now);
    }
    sendPing(incarnation, status, now);
}

void RepeatableJobEntry::onAgentDown(Incarnation agent, Instant now)
{
    const auto found = placement_.agents().find(agent);
    if (found == placement_.agents().end() || !found->second.linkUp) {
        return;
    }
    found->second.linkUp = false;
    found->second.linkDownAt = now;
    log_.warn(fmt::format("event=agent_down agent={} incarnation={:016x} outstanding={}", found->second.name, toWire(agent),
                          found->second.outstandingOrders.size()));
}

void RepeatableJobEntry::onAgentMessage(Incarnation agent, const repeat::Message &message, Instant now)
{
    const auto found = placement_.agents().find(agent);
    if (found == placement_.agents().end()) {
        return;
    }
    found->second.lastMessageAt = now;
    if (message.has_load_report()) {
        placement_.onLoadReport(agent, message.load_report());
        const Duration interval = found->second.outstandingOrders.empty() ? IDLE_PING_INTERVAL : PING_INTERVAL;
        if (now >= found->second.lastStampSentAt + interval) {
            sendPing(agent, found->second, now);
        }
    } else if (message.has_run_report()) {
        onRunReport(agent, message.run_report(), now);
    } else if (message.has_crash_notice()) {
        onCrashNotice(message.crash_notice(), now);
    }
}

void RepeatableJobEntry::onRunReport(Incarnation agent, const repeat::RunReport &report, Instant now)
{
    const auto order = orders_.find(static_cast<OrderId>(report.order()));
    if (order == orders_.end()) {
        return;
    }
    const OrderRef ref = order->second;
    orders_.erase(order);
    placement_.agents().at(agent).outstandingOrders.erase(static_cast<OrderId>(report.order()));
    const auto found = jobs_.find(ref.job);
    if (found == jobs_.end()) {
        return;
    }
    Job &job = found->second;
    RepeatableJobTask &task = job.tasks[ref.task];
    const auto at = job.groupTasksByAgent[task.group].find(agent);
    if (at != job.groupTasksByAgent[task.group].end() && at->second > 0) {
        --at->second;
    }
    if (report.outcome() != repeat::RUN_NOT_STARTED) {
        job.mayHaveStarted = true;
    }
    const std::string &agentName = placement_.agents().at(agent).name;
    histograms_.add("order", job.submission.policy.kind, now - ref.sentAt);
    if (report.outcome() == repeat::RUN_DONE) {
        histograms_.add("run", job.submission.policy.kind, Millis(report.run_ms()));
        if (Millis(report.run_ms()) >= job.slowestRun) {
            job.slowestRun = Millis(report.run_ms());
            job.slowestAgent = agentName;
        }
        const TaskGroup &group = job.submission.groups[task.group];
        if (group.declaredRunTime.count() > 0) {
            const double measured = std::min(
                MAX_RUN_TIME_RATIO, static_cast<double>(report.run_ms()) * 1'000 / static_cast<double>(group.declaredRunTime.count()));
            double &ratio = kindStats_[job.submission.policy.kind].runTimeRatio;
            ratio += RUN_TIME_RATIO_WEIGHT * (measured - ratio);
        }
        onTaskCompleted(ref.job, job, task, now);
        return;
    }
    log_.info(fmt::format("event=task_not_done id={} group={} index={} attempt={} agent={} outcome={} reason={} run_ms={} order_ms={}",
                          job.submission.id, task.group, task.index, task.attempt, agentName, outcomeName(report.outcome()),
                          reasonInfo(static_cast<Reason>(report.reason())).code, report.run_ms(), toMillis(now - ref.sentAt)));
    retryTaskOrFailJob(ref.job, job, task, report, now);
}

Duration RepeatableJobEntry::loadReportInterval() const
{
    const double seconds = static_cast<double>(placement_.agents().size()) / std::max(settings_.loadReportsPerSecond, 1.0);
    return std::min(Duration(static_cast<Duration::rep>(seconds * 1e6)), settings_.maxLoadReportInterval);
}

void RepeatableJobEntry::sendPing(Incarnation incarnation, AgentStatus &agent, Instant now)
{
    agent.lastStampSentAt = now;
    repeat::Message message;
    message.mutable_entry_ping()->set_stamp(agent.newestStamp);
    message.mutable_entry_ping()->set_report_interval_ms(static_cast<std::uint32_t>(toMillis(loadReportInterval())));
    links_.sendTo(incarnation, std::move(message));
}

void RepeatableJobEntry::onAgentLost(Incarnation agent, Instant now)
{
    AgentStatus &status = placement_.agents().at(agent);
    std::vector<OrderId> orders;
    for (const auto &[order, demand] : status.outstandingOrders) {
        orders.push_back(order);
    }
    if (orders.empty()) {
        log_.info(fmt::format("event=agent_forgotten agent={}", status.name));
        return;
    }
    log_.warn(
        fmt::format("event=agent_lost agent={} orders={} silent_ms={}", status.name, orders.size(), toMillis(now - status.linkDownAt)));
    counters_.add("entry_agents_lost");
    for (const OrderId order : orders) {
        repeat::RunReport report;
        report.set_order(static_cast<std::uint64_t>(order));
        report.set_outcome(repeat::RUN_LOST);
        report.set_reason(static_cast<std::uint32_t>(Reason::AgentLost));
        onRunReport(agent, report, now);
    }
}

bool RepeatableJobEntry::isCapacityKnown(Instant now) const
{
    return hasConnectedAgent() && now >= linksSettleAt_;
}

bool RepeatableJobEntry::hasConnectedAgent() const
{
    return std::ranges::any_of(placement_.agents(), [](const auto &item) {
        return item.second.linkUp;
    });
}

void RepeatableJobEntry::checkAgents(Instant now)
{
    if (hasConnectedAgent()) {
        isolatedSince_ = NEVER - std::chrono::hours(1);
    } else if (isolatedSince_ > now) {
        isolatedSince_ = now;
    }
    std::vector<Incarnation> silent;
    std::vector<Incarnation> lost;
    for (const auto &[incarnation, agent] : placement_.agents()) {
        const Duration limit = agent.outstandingOrders.empty() ? IDLE_SILENCE_TIMEOUT : SILENCE_TIMEOUT;
        const Instant since = agent.outstandingOrders.empty() ? agent.lastMessageAt : std::max(agent.lastMessageAt, agent.busySince);
        if (agent.linkUp && since + limit < now) {
            silent.push_back(incarnation);
        } else if (!agent.linkUp && agent.linkDownAt + settings_.agentLossTimeout < now) {
            lost.push_back(incarnation);
        }
    }
    for (const Incarnation agent : silent) {
        log_.warn(fmt::format("event=agent_silent agent={} silent_ms={}", placement_.agents().at(agent).name,
                              toMillis(now - placement_.agents().at(agent).lastMessageAt)));
        counters_.add("entry_agents_silent");
        onAgentDown(agent, now);
        links_.resetLink(agent);
    }
    for (const Incarnation agent : lost) {
        onAgentLost(agent, now);
        placement_.agents().erase(agent);
    }
}

}
