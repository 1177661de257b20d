/** @file repeatable_job_world.h Entries, agents, endpoints and callers of repeatable jobs over a fake network, driven by one clock. */

#pragma once

#include "fake_endpoint.h"
#include "repeatable/repeatable_job_agent.h"
#include "repeatable/repeatable_job_entry.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

namespace medlarmill::fake
{

/** Kinds of trouble. */
enum class Fault : std::uint8_t {
    KillEntry, ///< The process is killed; connections are reset; a new one comes 300 ms later.
    PowerOffEntry, ///< As KillEntry, but nobody is told.
    KillAgent,
    PowerOffAgent,
    FreezeEntry, ///< It stands still; its messages wait.
    FreezeAgent,
    CutLink, ///< An agent and an entry do not reach each other; no reset.
    CutAgent, ///< An agent reaches no entry.
    CrashEndpoint, ///< Its runs are gone; a new incarnation.
    RestartEndpointSameId, ///< The same under the same id.
    UnresponsiveEndpoint, ///< It does not answer, and runs on.
    DelayedCalls, ///< A part of the orders is not answered and carried out seconds later.
    LostReplies, ///< A part of the orders is carried out and not answered.
    SlowEndpoint,
    FailingEndpoint, ///< It fails all that it starts.
    DrainEndpoint, ///< It leaves after 2 s, and comes back as a new incarnation.
    KillAll, ///< All entries and agents lose power at once.
    StopAgent, ///< A planned stop.
    StalledRuns, ///< Its runs stand still.
};

constexpr int FAULT_KINDS = static_cast<int>(Fault::StalledRuns) + 1;

/** One trouble at one time. */
struct FaultEvent
{
    Fault kind = Fault::KillEntry; ///< What.
    int atMs = 0; ///< When.
    int durationMs = 0; ///< How long.
    int target = 0; ///< Which one.
};

/** Runs a world. */
class RepeatableJobWorld
{
public:
    RepeatableJobWorld(std::uint64_t seed, int entries, int agents);
    ~RepeatableJobWorld();

    /** Plays callers and faults, then heals everything and lets all jobs end. @param faults the faults. @param durationMs length. @param
     * jobsPerSecond load. */
    void run(const std::vector<FaultEvent> &faults, int durationMs, int jobsPerSecond);

    /** @return the oracle. */
    Oracle &oracle()
    {
        return oracle_;
    }

    /** @return whether a job handed in after everything has healed was answered as complete in time. */
    bool recovered() const
    {
        return recovered_;
    }

    /** @return submissions without any answer or broken connection by their deadline and a second. */
    int unanswered() const
    {
        return unanswered_;
    }

    bool endpointsEnforceCapacity = true; ///< Whether endpoints refuse what does not fit.
    bool trace = false; ///< Prints the decisions.
    RepeatableJobEntrySettings entrySettings; ///< Settings of every entry; names are filled in.
    RepeatableJobAgentSettings agentSettings; ///< Settings of every agent; names are filled in.

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

    void schedule(Duration delay, Action action);
    void runUntil(Instant end);
    Incarnation agentIncarnation(int agent) const;
    void startEntry(int entry);
    void startAgent(int agent);
    void terminateEntry(int entry, bool notifyPeers);
    void terminateAgent(int agent, bool notifyPeers);
    void tickLinks();
    void tickCores();
    void scheduleNotices(int agent);
    void connect(int agent, int entry);
    void disconnect(int agent, int entry, bool notifyAgent, bool notifyEntry);
    void deliver(int agent, int entry, bool toEntry, repeat::Message message);
    void submitNew();
    void submit(const std::string &id, int tries);
    void closeConnection(std::uint64_t token, bool resubmit);
    void onAnswer(std::uint64_t token, const JobOutcome &outcome);
    void beginFault(const FaultEvent &event);
    void endFault(const FaultEvent &event);
    RepeatableJob makeJob(const std::string &id);
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
    std::vector<std::vector<Link>> links_; ///< By agent, then entry.
    std::map<std::uint64_t, Submission> submissions_;
    std::map<std::string, RepeatableJob> jobs_;
    std::uint64_t nextToken_ = 1;
    std::uint64_t nextIncarnation_ = 1;
    std::uint64_t nextJob_ = 1;
    bool generatingLoad_ = true;
    bool recovered_ = false;
    int unanswered_ = 0;
    int pendingResubmissions_ = 0; ///< Jobs that will be handed in again.
    std::string probeJob_;
};

}
