/** @file repeatable_job_world.h Simulation of entries, agents, endpoints and callers of repeatable jobs on one virtual clock. */

#pragma once

#include "fake_endpoint.h"
#include "repeatable/repeatable_job_agent.h"
#include "repeatable/repeatable_job_entry.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>

namespace medlarmill::fake
{

/** Kinds of injected faults. */
enum class Fault : std::uint8_t {
    KillEntry, ///< The process is killed and its connections are reset; it restarts 300 ms later.
    PowerOffEntry, ///< The entry stops without connection resets; it restarts when the fault ends.
    KillAgent, ///< As KillEntry; the runs at the endpoint continue.
    PowerOffAgent, ///< As PowerOffEntry; the endpoint loses its runs.
    FreezeEntry, ///< The process is paused; messages to it are delivered afterwards.
    FreezeAgent, ///< As FreezeEntry.
    CutLink, ///< Messages between an agent and an entry are dropped, without a connection reset.
    CutAgent, ///< Messages between an agent and all entries are dropped.
    CrashEndpoint, ///< The endpoint loses its runs, refuses connections, and returns as a new incarnation with a new id.
    RestartEndpointSameId, ///< The endpoint loses its runs and restarts at once under the same id.
    UnresponsiveEndpoint, ///< Calls time out and no announcements are sent; runs continue.
    DelayedCalls, ///< One in three start and stop calls is executed 1.5 to 5.5 s later and never answered.
    LostReplies, ///< One in three start and stop calls is executed but not answered.
    SlowEndpoint, ///< Runs take five times as long.
    FailingEndpoint, ///< All runs started during the fault fail.
    DrainEndpoint, ///< The endpoint drains, and restarts as a new incarnation when the fault ends.
    KillAll, ///< All entries, agents and endpoints crash at once; connections are reset.
    StopAgent, ///< The agent stops as planned: it drains, ends and restarts.
    StalledRuns, ///< Runs at the endpoint make no progress.
    ShrinkEndpoint, ///< The endpoint has less than half of its capacity, and announces it.
    RefusedConnections, ///< Connections to the endpoint are refused although it goes on.
    UnheardDeregistration, ///< The endpoint deregisters, gets no answer and goes on.
    ClockSetBack, ///< The endpoint restarts at once under the same id; its wall clock was set back, and its clock starts elsewhere.
};

constexpr int FAULT_KINDS = static_cast<int>(Fault::ClockSetBack) + 1;

/** One injected fault. */
struct FaultEvent
{
    Fault kind = Fault::KillEntry;
    int atMs = 0; ///< Start, after the load begins.
    int durationMs = 0;
    int target = 0; ///< Selects the entry, agent, endpoint or link, modulo their number.
};

/** Simulates a deployment with injected faults; deterministic for a seed. */
class RepeatableJobWorld
{
public:
    RepeatableJobWorld(std::uint64_t seed, int entries, int agents);
    ~RepeatableJobWorld();

    /**
     * Submits jobs while injecting faults, waits up to a minute until no submission is open, and then submits a probe job.
     * @param durationMs length of the load.
     */
    void run(const std::vector<FaultEvent> &faults, int durationMs, int jobsPerSecond);

    Oracle &oracle()
    {
        return oracle_;
    }

    /** @return whether the probe job, submitted after the load and all faults, was answered as complete in time. */
    bool recovered() const
    {
        return recovered_;
    }

    /** @return submissions without an answer 60 ms after their deadline, at entries that neither restarted nor were frozen. */
    int unanswered() const
    {
        return unanswered_;
    }

    bool endpointsEnforceCapacity = true; ///< Whether endpoints refuse starts that do not fit.
    bool endpointsCheckFencing = true; ///< Whether endpoints refuse calls with an older fencing token.
    std::optional<double> endpointClockRate; ///< Speed of the endpoints' clocks; by default up to 2% slow, by the seed.
    int crashingJobsIn100 = 0; ///< How many of 100 jobs have a task that crashes each endpoint that starts it.
    bool trace = false; ///< Prints the decision logs.
    RepeatableJobEntrySettings entrySettings; ///< Settings of all entries; name, zone and incarnation are set by the simulation.
    RepeatableJobAgentSettings agentSettings; ///< Settings of all agents; name, zone and incarnation are set by the simulation.

private:
    struct EntryNode;
    struct AgentNode;
    struct Link;
    struct Submission;
    friend struct EntryNode;
    friend struct AgentNode;

    using Action = std::function<void()>;

    struct Event
    {
        Instant at;
        std::uint64_t sequence;
        Action action;
        bool operator<(const Event &other) const
        {
            return std::tie(at, sequence) > std::tie(other.at, other.sequence);
        }
    };

    /** Runs the action after the delay. */
    void schedule(Duration delay, Action action);
    void runUntil(Instant end);
    Incarnation agentIncarnation(int agent) const;
    void startEntry(int entry);
    void startAgent(int agent);
    /** @param notifyPeers whether connections are reset, so that agents and callers notice at once. */
    void terminateEntry(int entry, bool notifyPeers);
    /** @param notifyPeers whether connections are reset, so that entries notice at once. */
    void terminateAgent(int agent, bool notifyPeers);
    void tickLinks();
    void tickCores();
    void scheduleNotices(int agent);
    void connect(int agent, int entry);
    void disconnect(int agent, int entry, bool notifyAgent, bool notifyEntry);
    void deliver(int agent, int entry, bool toEntry, repeat::Message message);
    void submitNew();
    /** @param tries number of this submission of the job, from 1. */
    void submit(const std::string &id, int tries);
    /** Closes the connection of a submission without an answer. */
    void closeConnection(std::uint64_t token, bool resubmit);
    void onAnswer(std::uint64_t token, const JobOutcome &outcome);
    void beginFault(const FaultEvent &event);
    void endFault(const FaultEvent &event);
    RepeatableJob makeJob(const std::string &id);
    bool crashesEndpoint(const RunName &run) const;
    void crashSoon(int agent, const RunName &run);
    bool isFrozen(Instant until) const
    {
        return now_ < until;
    }

    std::mt19937_64 random_;
    Oracle oracle_;
    Instant now_;
    std::uint64_t sequence_ = 0;
    std::priority_queue<Event> events_;
    std::vector<std::unique_ptr<EntryNode>> entries_;
    std::vector<std::unique_ptr<AgentNode>> agents_;
    std::vector<std::vector<Link>> links_; ///< Indexed by agent, then by entry.
    std::map<std::uint64_t, Submission> submissions_;
    std::map<std::string, RepeatableJob> jobs_;
    std::set<std::string> crashingJobs_; ///< Jobs whose first task crashes each endpoint that starts it.
    std::uint64_t nextToken_ = 1;
    std::uint64_t nextIncarnation_ = 1;
    std::uint64_t nextJob_ = 1;
    bool generatingLoad_ = true;
    bool recovered_ = false;
    int unanswered_ = 0;
    int pendingResubmissions_ = 0; ///< Jobs that wait for their next submission.
    std::string probeJob_; ///< Id of the probe job.
};

}
