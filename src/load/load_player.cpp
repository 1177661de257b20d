/** @file load_player.cpp Plays a load of repeatable jobs on entries that share modelled endpoints. */

#include "load/load_player.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fmt/format.h>
#include <utility>

namespace medlarmill
{

namespace
{

constexpr int ENTRY_COUNT = 6; ///< Entries; each one is linked to all agents.
constexpr int ENDPOINT_COUNT = 24; ///< Endpoints.
constexpr std::uint32_t ENDPOINT_CPU = 32'000; ///< Thousandths of a core of an endpoint.
constexpr std::uint32_t TASK_CPU = 7'600; ///< Thousandths of a core of a task.
constexpr double SLOTS = ENDPOINT_COUNT * (ENDPOINT_CPU / TASK_CPU); ///< Tasks that all endpoints run at once.
constexpr Duration STEP = Millis(1); ///< Step of the virtual clock.
constexpr Duration LINK_DELAY = Millis(1); ///< One-way latency between entries and agents.
constexpr Duration REPORT_INTERVAL = Millis(30); ///< Time between load reports.
constexpr double SLACK_FACTOR = 1.6; ///< The objective is the longest run time of a job times this, plus `TARGET_LATENCY`.
constexpr Duration TARGET_LATENCY = Millis(60); ///< See SLACK_FACTOR.
constexpr double LATE_LIMIT = 3; ///< An answer after this multiple of the objective is useless.
constexpr double RUN_TIME_DEVIATION = 0.3; ///< Standard deviation of run times, as a ratio of their mean.
constexpr double MIN_RUN_MS = 5; ///< Shortest run time.

class SilentLog : public EventLog
{
public:
    void info(std::string_view /*line*/) override
    { }
    void warn(std::string_view /*line*/) override
    { }
};

Duration ofMillis(double ms)
{
    return Duration(static_cast<Duration::rep>(ms * 1'000));
}

Incarnation incarnationOf(int agent)
{
    return Incarnation{static_cast<std::uint64_t>(agent) + 1};
}

}

struct LoadPlayer::LoadKind
{
    const char *name;
    std::uint32_t width; ///< Tasks of a job.
    double runMs; ///< Mean run time of a task.
    double share; ///< Share of the offered work.
};

struct LoadPlayer::Call
{
    const LoadKind *kind = nullptr;
    Instant at; ///< When it was submitted.
    double longestMs = 0; ///< Run time of its longest task.
    double workMs = 0; ///< Sum of the run times.
};

struct LoadPlayer::EntryNode : public LinkOutput
{
    EntryNode(LoadPlayer &owner, int position)
        : player(owner)
        , number(position)
        , core({fmt::format("entry{}", position), "a", Incarnation{1'000 + static_cast<std::uint64_t>(position)}}, *this, owner,
               *owner.log_)
    { }

    void sendTo(Incarnation peer, repeat::Message message) override
    {
        const int agent = static_cast<int>(toWire(peer)) - 1;
        player.schedule(LINK_DELAY, [this, agent, message = std::move(message)] {
            player.onEntryMessage(number, agent, message);
        });
    }
    void resetLink(Incarnation /*peer*/) override
    { }

    LoadPlayer &player;
    int number;
    RepeatableJobEntry core;
};

struct LoadPlayer::Endpoint
{
    struct QueuedRun
    {
        int entry = 0;
        repeat::RunOrder order;
        Instant rank; ///< Smaller values start first.
    };

    std::uint32_t usedCpu = 0;
    std::vector<QueuedRun> queue;
    std::array<std::uint64_t, ENTRY_COUNT> lastOrder{}; ///< Highest order of each entry.
    Instant reportedAt;
};

const std::vector<LoadPlayer::LoadKind> &LoadPlayer::loadKinds()
{
    static const std::vector<LoadKind> kinds = {{"check", 8, 51, 0.35}, {"reserve", 4, 760, 0.35}, {"confirm", 2, 170, 0.30}};
    return kinds;
}

LoadPlayer::LoadPlayer(std::uint64_t seed, std::vector<double> entryShares)
    : random_(seed)
    , entryShares_(std::move(entryShares))
    , log_(std::make_unique<SilentLog>())
{
    for (int entry = 0; entry < ENTRY_COUNT; ++entry) {
        entries_.push_back(std::make_unique<EntryNode>(*this, entry));
    }
    for (int agent = 0; agent < ENDPOINT_COUNT; ++agent) {
        endpoints_.push_back(std::make_unique<Endpoint>());
        repeat::AgentHello hello;
        hello.set_incarnation(toWire(incarnationOf(agent)));
        hello.set_zone("a");
        for (int entry = 0; entry < ENTRY_COUNT; ++entry) {
            entries_[entry]->core.onAgentUp(hello, now_);
            reportLoad(agent, entry);
        }
    }
}

LoadPlayer::~LoadPlayer() = default;

void LoadPlayer::play(double ratio, Duration span)
{
    for (const Instant end = now_ + span; now_ < end;) {
        for (const LoadKind &kind : loadKinds()) {
            const double jobsPerStep = ratio * SLOTS * kind.share / (kind.width * kind.runMs);
            const int arrivals = jobsPerStep > 0 ? std::poisson_distribution<int>(jobsPerStep)(random_) : 0;
            for (int arrival = 0; arrival < arrivals; ++arrival) {
                submit(kind);
            }
        }
        step();
    }
}

std::map<std::string, CallerStats> LoadPlayer::takeStats()
{
    return std::exchange(stats_, {});
}

double LoadPlayer::takeGoodput(Duration span)
{
    return std::exchange(usefulWorkMs_, 0) / (SLOTS * static_cast<double>(toMillis(span)));
}

void LoadPlayer::answer(CallerToken caller, const JobOutcome &outcome)
{
    const auto found = open_.find(static_cast<std::uint64_t>(caller));
    const Call call = found->second;
    open_.erase(found);
    CallerStats &stats = stats_[call.kind->name];
    const Duration response = now_ - call.at;
    const Duration objective = ofMillis(SLACK_FACTOR * call.longestMs) + TARGET_LATENCY;
    stats.longestObjective = std::max(stats.longestObjective, objective);
    if (outcome.result != JobResult::Complete) {
        ++stats.refused;
        stats.refusedWithRoom += call.at == now_ && freeSlots() >= call.kind->width ? 1 : 0;
        stats.longestRefusal = std::max(stats.longestRefusal, response);
    } else if (response <= objective) {
        ++stats.inTime;
        usefulWorkMs_ += call.workMs;
    } else if (response <= LATE_LIMIT * objective) {
        ++stats.late;
    }
}

void LoadPlayer::submit(const LoadKind &kind)
{
    const std::uint64_t caller = nextCaller_++;
    RepeatableJob job;
    job.id = fmt::format("j{}", caller);
    TaskGroup group;
    group.count = kind.width;
    group.demand = {TASK_CPU, 64, 0};
    group.declaredRunTime = ofMillis(kind.runMs);
    job.groups = {group};
    job.policy = {kind.name, "desk", 0, 3, SLACK_FACTOR, TARGET_LATENCY, Millis(0)};
    job.callerTimeout = Millis(1'500) + 5 * group.declaredRunTime;
    Call call{&kind, now_, 0, 0};
    for (std::uint32_t index = 0; index < kind.width; ++index) {
        const double runMs = std::max(MIN_RUN_MS, kind.runMs * std::normal_distribution<double>(1, RUN_TIME_DEVIATION)(random_));
        runMs_[{job.id, index}] = runMs;
        call.longestMs = std::max(call.longestMs, runMs);
        call.workMs += runMs;
    }
    open_[caller] = call;
    ++stats_[kind.name].asked;
    entries_[chooseEntry()]->core.submit(CallerToken{caller}, std::move(job), now_);
}

int LoadPlayer::chooseEntry()
{
    if (entryShares_.empty()) {
        return static_cast<int>(random_() % ENTRY_COUNT);
    }
    return std::discrete_distribution<int>(entryShares_.begin(), entryShares_.end())(random_);
}

std::uint32_t LoadPlayer::freeSlots() const
{
    std::uint32_t slots = 0;
    for (const auto &endpoint : endpoints_) {
        std::uint32_t used = endpoint->usedCpu;
        for (const Endpoint::QueuedRun &run : endpoint->queue) {
            used += run.order.cpu();
        }
        slots += (ENDPOINT_CPU - std::min(ENDPOINT_CPU, used)) / TASK_CPU;
    }
    return slots;
}

void LoadPlayer::schedule(Duration delay, std::function<void()> action)
{
    events_.emplace(now_ + delay, std::move(action));
}

void LoadPlayer::step()
{
    now_ += STEP;
    while (!events_.empty() && events_.begin()->first <= now_) {
        const auto action = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        action();
    }
    for (int agent = 0; agent < ENDPOINT_COUNT; ++agent) {
        if (now_ - endpoints_[agent]->reportedAt < REPORT_INTERVAL) {
            continue;
        }
        endpoints_[agent]->reportedAt = now_;
        for (int entry = 0; entry < ENTRY_COUNT; ++entry) {
            reportLoad(agent, entry);
        }
    }
    for (const auto &entry : entries_) {
        entry->core.tick(now_);
    }
}

void LoadPlayer::sendToEntry(int agent, int entry, repeat::Message message)
{
    schedule(LINK_DELAY, [this, agent, entry, message = std::move(message)] {
        entries_[entry]->core.onAgentMessage(incarnationOf(agent), message, now_);
        entries_[entry]->core.dispatchTasks(now_);
    });
}

void LoadPlayer::reportLoad(int agent, int entry)
{
    const Endpoint &endpoint = *endpoints_[agent];
    std::uint32_t used = endpoint.usedCpu;
    for (const Endpoint::QueuedRun &run : endpoint.queue) {
        used += run.order.cpu();
    }
    repeat::Message message;
    repeat::LoadReport *load = message.mutable_load_report();
    load->set_stamp(toMillis(now_.time_since_epoch()));
    load->set_service("desk");
    load->set_accepting(true);
    load->set_cpu_total(ENDPOINT_CPU);
    load->set_cpu_free(ENDPOINT_CPU - std::min(ENDPOINT_CPU, used));
    load->set_mem_free(100'000);
    load->set_slowdown_percent(100);
    load->set_last_order(endpoint.lastOrder[entry]);
    sendToEntry(agent, entry, std::move(message));
}

void LoadPlayer::reportRun(int agent, int entry, const repeat::RunOrder &order, repeat::RunOutcome outcome, Reason reason, double runMs)
{
    repeat::Message message;
    repeat::RunReport *run = message.mutable_run_report();
    run->set_order(order.order());
    run->set_outcome(outcome);
    run->set_reason(static_cast<std::uint32_t>(reason));
    run->set_run_ms(static_cast<std::uint32_t>(std::lround(runMs)));
    reportLoad(agent, entry);
    sendToEntry(agent, entry, std::move(message));
}

void LoadPlayer::onEntryMessage(int entry, int agent, const repeat::Message &message)
{
    Endpoint &endpoint = *endpoints_[agent];
    for (const std::uint64_t order : message.run_cancel().orders()) {
        std::erase_if(endpoint.queue, [&](const Endpoint::QueuedRun &run) {
            return run.entry == entry && run.order.order() == order;
        });
    }
    if (!message.has_run_order()) {
        return;
    }
    const repeat::RunOrder &order = message.run_order();
    endpoint.lastOrder[entry] = std::max(endpoint.lastOrder[entry], order.order());
    if (endpoint.usedCpu + order.cpu() > ENDPOINT_CPU && order.refuse_when_full()) {
        reportRun(agent, entry, order, repeat::RUN_NOT_STARTED, Reason::NoRoom, 0);
        return;
    }
    endpoint.queue.push_back({entry, order, now_ + Millis(order.rank_ms())});
    startQueued(agent);
}

void LoadPlayer::startQueued(int agent)
{
    Endpoint &endpoint = *endpoints_[agent];
    std::ranges::sort(endpoint.queue, {}, &Endpoint::QueuedRun::rank);
    while (!endpoint.queue.empty() && endpoint.usedCpu + endpoint.queue.front().order.cpu() <= ENDPOINT_CPU) {
        const Endpoint::QueuedRun run = endpoint.queue.front();
        endpoint.queue.erase(endpoint.queue.begin());
        endpoint.usedCpu += run.order.cpu();
        const double runMs = runMs_.at({run.order.submission(), run.order.index()});
        schedule(ofMillis(runMs), [this, agent, run, runMs] {
            endpoints_[agent]->usedCpu -= run.order.cpu();
            startQueued(agent);
            reportRun(agent, run.entry, run.order, repeat::RUN_DONE, Reason::None, runMs);
        });
    }
}

}
