/** @file load_player.h Plays a load of repeatable jobs on entries that share modelled endpoints, on a virtual clock. */

#pragma once

#include "repeatable/repeatable_job_entry.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace medlarmill
{

/** What the callers of one request kind got. */
struct CallerStats
{
    int asked = 0; ///< Jobs submitted.
    int inTime = 0; ///< Answers within the response time objective.
    int late = 0; ///< Later answers within three times the objective; still later ones count nowhere.
    int refused = 0; ///< Jobs answered without a result.
    int refusedWithRoom = 0; ///< Jobs refused on arrival while the endpoints had free slots for all of their tasks.
    Duration longestRefusal{0}; ///< Longest time until such an answer.
    Duration longestObjective{0}; ///< Longest response time objective.
};

/**
 * Six entries, 24 endpoints of four slots and callers of three request kinds; deterministic for a seed. Entries are the product's;
 * endpoints and agents are models: they start, queue or refuse orders, and report their load every 30 ms and after each run.
 */
class LoadPlayer : public CallerOutput
{
public:
    /** @param seed seed of arrivals and run times. @param entryShares share of the callers of each of the six entries; empty for even
     * shares. */
    explicit LoadPlayer(std::uint64_t seed, std::vector<double> entryShares = {});
    ~LoadPlayer() override;

    /** Offers load and lets the time pass. @param ratio offered work as a ratio of the capacity. @param span how long. */
    void play(double ratio, Duration span);

    /** @return what callers got since the last call, by request kind. */
    std::map<std::string, CallerStats> takeStats();

    /** @param span time since the last call. @return work that was done in time since then, as a ratio of the capacity. */
    double takeGoodput(Duration span);

    void answer(CallerToken caller, const JobOutcome &outcome) override;

private:
    struct LoadKind;
    struct Call;
    struct EntryNode;
    struct Endpoint;

    static const std::vector<LoadKind> &loadKinds();
    void submit(const LoadKind &kind);
    int chooseEntry();
    std::uint32_t freeSlots() const;
    void step();
    void schedule(Duration delay, std::function<void()> action);
    void sendToEntry(int agent, int entry, repeat::Message message);
    void reportLoad(int agent, int entry);
    void reportRun(int agent, int entry, const repeat::RunOrder &order, repeat::RunOutcome outcome, Reason reason, double runMs);
    void onEntryMessage(int entry, int agent, const repeat::Message &message);
    void startQueued(int agent);

    std::mt19937_64 random_;
    std::vector<double> entryShares_; ///< Empty for even shares.
    Instant now_{Millis(1'000'000)};
    std::unique_ptr<EventLog> log_;
    std::vector<std::unique_ptr<EntryNode>> entries_;
    std::vector<std::unique_ptr<Endpoint>> endpoints_;
    std::multimap<Instant, std::function<void()>> events_;
    std::map<std::pair<std::string, std::uint32_t>, double> runMs_; ///< Run time of each task, by job and index.
    std::map<std::uint64_t, Call> open_; ///< Jobs without an answer, by caller.
    std::map<std::string, CallerStats> stats_;
    double usefulWorkMs_ = 0; ///< Run times of the jobs that were answered in time.
    std::uint64_t nextCaller_ = 1;
};

}
