/** @file world.h Small fakes around the real decision objects: network, store, endpoints, callers, clocks. */

#pragma once

#include "agent_logic/agent_core.h"
#include "entry_logic/entry_core.h"
#include "oracle.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace medlarmill::test
{

constexpr int ENTRY_COUNT = 3; ///< Entries of the fake system.
constexpr int AGENT_COUNT = 4; ///< Agents of the fake system.
constexpr int NODE_COUNT = ENTRY_COUNT + AGENT_COUNT; ///< Entries come first.

/** Deliberate faults, to show that the oracle catches them. */
enum class Mutation {
    None, ///< The real code.
    NoFence, ///< Agents answer a fence without keeping it.
    ReusedIncarnation, ///< A restarted entry keeps its incarnation.
    RefusalAfterGrant, ///< A started job that fails is called not run.
    RestartOnSilence, ///< Tasks on a silent agent are granted elsewhere.
    OldConfigAfterRestart, ///< A restarted entry gets the first configuration.
    CrossedAnswer, ///< An answer goes to the caller of another request.
};

/** One life of a process. */
struct Node
{
    bool alive = false; ///< The process runs.
    bool paused = false; ///< It is stopped and keeps its memory.
    int life = 0; ///< Counts lives.
    Incarnation incarnation = INVALID_INCARNATION; ///< This life.
    Duration clockOffset{0}; ///< Its monotonic clock minus the world's.
    Instant leftAt = NEVER; ///< When it was asked to stop.
    std::vector<std::function<void()>> backlog; ///< What arrived while it was paused.
};

class World;

/** An entry and its surroundings. */
struct EntryNode : Node, EntryOutput
{
    World *world = nullptr;
    int index = 0;
    std::unique_ptr<EntryCore> core;
    std::set<int> connected; ///< Entries it has a dialed connection to.

    void sendToAgent(Incarnation agent, wire::Message message) override;
    void sendToPeer(Incarnation peer, wire::Message message) override;
    void resetPeer(Incarnation peer) override;
    void answerCaller(CallerToken caller, const wire::Answer &answer) override;
    void proposeRoster(const wire::Roster &roster) override;
    void rosterChanged(const wire::Roster &) override
    { }
    std::uint64_t random() override;
    std::uint64_t unixMs() override;
};

/** An agent, its endpoint, and their surroundings. */
struct AgentNode : Node, AgentOutput
{
    struct Session
    {
        int id = 0; ///< Number of the session; 0 when there is none.
        Incarnation entry = INVALID_INCARNATION; ///< The entry's incarnation.
        bool ready = false; ///< The entry has answered the hello.
    };

    World *world = nullptr;
    int index = 0;
    std::unique_ptr<AgentCore> core;
    std::map<int, Session> sessions; ///< By entry index.
    std::set<TaskKey> stopped; ///< Running tasks that shall stop.

    void sendToEntry(Incarnation entry, wire::Message message) override;
    void resetEntry(Incarnation entry) override;
    void startTask(const TaskKey &key, std::string_view kind, std::string_view payload, Duration timeLeft) override;
    void stopTask(const TaskKey &key) override;
    void rosterChanged(const wire::Roster &) override
    { }
};

/** The fake system. Time is virtual; nothing depends on the machine. */
class World
{
public:
    explicit World(Mutation mutation = Mutation::None);

    /** Lets time pass. */
    void advance(Duration span);

    // Callers.
    void submit(int entry, const std::string &id, std::uint32_t tasks, int body, std::uint32_t runMs, std::uint32_t deadlineMs,
                bool idempotent);
    void fetch(int entry, const std::string &id);
    void cancel(int entry, const std::string &id);

    // Faults.
    void kill(int node, bool silently);
    void start(int node);
    void pause(int node);
    void resume(int node);
    void jumpClock(int node, Duration forward);
    void cut(int from, int to, bool isCut);
    void breakConnection(int a, int b);
    void setDelay(Duration delay);
    void setStore(bool up);
    void loseStoreReply();
    void drain(int node);
    void submitConfig();

    /** Ends all faults, lets the system recover, and checks that it answers and works. */
    void heal();

    Oracle oracle;
    std::map<std::string, int> faults; ///< Faults injected, by kind.

private:
    friend struct EntryNode;
    friend struct AgentNode;
    struct Pending
    {
        std::string id; ///< Submission, empty when minted.
        std::string body; ///< What was submitted, empty for reads.
        std::uint32_t tasks = 0; ///< Tasks of the submission.
        int entry = 0; ///< Where.
    };

    Node &node(int index);
    Instant nowOf(const Node &node) const;
    void at(Instant time, std::function<void()> action);
    void deliver(int to, int life, std::function<void()> action);
    void hold(int from, int to, std::function<bool()> stillOpen, std::function<void()> action);
    void tickAll();
    void dialAgents();
    void dialPeers();
    void closeAgentSession(AgentNode &agent, int entry);
    void makeEntry(int index);
    void makeAgent(int index);
    bool mutateToAgent(EntryNode &entry, const AgentNode &agent, wire::Message &message);
    void storeRead(int entry);
    std::string configText() const;
    int entryOf(Incarnation incarnation) const;
    int agentOf(Incarnation incarnation) const;
    void onAnswer(int entry, CallerToken caller, const wire::Answer &answer);

    Mutation mutation_;
    Instant now_{Millis(1'000'000)};
    std::uint64_t sequence_ = 0;
    std::uint64_t random_ = 0x9e3779b97f4a7c15ULL;
    std::map<std::pair<Instant, std::uint64_t>, std::function<void()>> events_;
    std::vector<EntryNode> entries_;
    std::vector<AgentNode> agents_;
    std::set<std::pair<int, int>> cuts_;
    Duration delay_ = Millis(2);
    int nextSession_ = 1;
    std::map<std::pair<int, Incarnation>, int> accepted_; ///< Session of an agent at an entry.
    bool storeUp_ = true;
    int lostReplies_ = 0;
    wire::Roster roster_;
    std::uint64_t configVersion_ = 1;
    std::map<CallerToken, Pending> pending_;
    std::uint64_t nextCaller_ = 1;
};

}
