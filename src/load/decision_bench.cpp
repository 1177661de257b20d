/** @file decision_bench.cpp decision-bench: processor time, bytes and memory of the bare decision objects at several sizes. */

#include "agent_logic/agent_core.h"
#include "core/hash_func.h"
#include "entry_logic/entry_core.h"

#include <algorithm>
#include <ctime>
#include <fmt/core.h>
#include <malloc.h>

namespace
{

using namespace medlarmill;

constexpr std::uint32_t SLOTS = 8; ///< Slots of each endpoint.
constexpr std::uint32_t JOB_TASKS = 20; ///< Tasks of each job.
constexpr std::size_t MEASURED_TASKS = 40'000; ///< Tasks of one measurement.
constexpr char CONFIG[]
    = R"({"teams":{"t":{"max_waiting":10000000}},"services":{"s":{"team":"t","queue_limit":10000000,"kinds":{"k":{"deadline_ms":300000}}}}})";

double cpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

double allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/** Keeps the grants and counts bytes. */
class CountingOutput : public EntryOutput
{
public:
    void sendToAgent(Incarnation agent, wire::Message message) override
    {
        bytes += message.ByteSizeLong();
        ++messages;
        if (message.has_grant()) {
            grants.emplace_back(agent, message.grant().submission_id(), message.grant().index());
        }
    }

    void sendToPeer(Incarnation, wire::Message message) override
    {
        peerBytes += message.ByteSizeLong();
    }

    void resetPeer(Incarnation) override
    { }

    void answerCaller(CallerToken, const wire::Answer &) override
    {
        ++answers;
    }

    void proposeRoster(const wire::Roster &roster) override
    {
        wanted = roster;
    }

    void rosterChanged(const wire::Roster &) override
    { }

    std::uint64_t random() override
    {
        return stableHash("bench", ++counter);
    }

    std::uint64_t unixMs() override
    {
        return 1;
    }

    std::vector<std::tuple<Incarnation, std::string, std::uint32_t>> grants;
    wire::Roster wanted;
    std::uint64_t bytes = 0;
    std::uint64_t peerBytes = 0;
    std::uint64_t messages = 0;
    std::uint64_t answers = 0;
    std::uint64_t counter = 0;
};

/** An entry with endpoints that finish every task at once. */
class EntryBench
{
public:
    EntryBench(std::size_t endpoints, std::size_t maxJobs)
        : core_(settings(maxJobs), output_)
    {
        core_.onRosterRead({}, now_);
        core_.tick(now_);
        core_.onRosterRead(output_.wanted, now_);
        core_.onConfigRead(ConfigVersion{1}, CONFIG, now_);
        for (std::size_t index = 0; index < endpoints; ++index) {
            wire::AgentHello hello;
            hello.set_name(fmt::format("endpoint-{}", index));
            hello.set_incarnation(index + 1);
            hello.set_service("s");
            hello.set_slots(SLOTS);
            core_.onAgentHello(hello, now_);
            agents_.push_back(toIncarnation(index + 1));
        }
    }

    void offerAll()
    {
        wire::Message offer;
        offer.mutable_credit_offer()->set_general(SLOTS);
        for (const Incarnation agent : agents_) {
            core_.onAgentMessage(agent, offer, now_);
        }
    }

    void submit(std::uint32_t tasks)
    {
        wire::Job job;
        job.set_service("s");
        job.set_kind("k");
        for (std::uint32_t index = 0; index < tasks; ++index) {
            job.add_tasks()->set_payload("{\"kit\":\"hopscotch\",\"morning\":\"2026-12-05\"}");
        }
        core_.submit(CallerToken{++caller_}, std::move(job), now_);
    }

    std::size_t finishGrants()
    {
        auto grants = std::move(output_.grants);
        output_.grants.clear();
        for (const auto &[agent, id, index] : grants) {
            wire::Message message;
            wire::TaskReport *report = message.mutable_task_report();
            report->set_submission_id(id);
            report->set_index(index);
            report->set_state(wire::TASK_COMPLETE);
            report->set_payload("{\"free\":true}");
            report->set_run_ms(300);
            report->set_credit(true);
            core_.onAgentMessage(agent, message, now_);
        }
        return grants.size();
    }

    void tick()
    {
        now_ += Millis(10);
        for (const Incarnation agent : agents_) {
            wire::Message message;
            message.mutable_heartbeat()->set_stamp(1);
            message.mutable_heartbeat()->set_slots(SLOTS);
            core_.onAgentMessage(agent, message, now_);
        }
        core_.tick(now_);
    }

    CountingOutput output_;

private:
    static EntrySettings settings(std::size_t maxJobs)
    {
        EntrySettings settings;
        settings.membership.name = "entry";
        settings.membership.incarnation = toIncarnation(99);
        settings.maxJobs = maxJobs;
        settings.maxJobBytes = std::size_t{4} << 30U;
        settings.admitByEstimate = false;
        return settings;
    }

    Instant now_{Millis(1'000'000)};
    EntryCore core_;
    std::vector<Incarnation> agents_;
    std::uint64_t caller_ = 0;
};

/** Processor time of a task at an entry: submission, grant and result. */
void benchEntry(std::size_t endpoints, std::size_t waiting)
{
    EntryBench bench(endpoints, 10'000'000);
    for (std::size_t queued = 0; queued < waiting; queued += JOB_TASKS) {
        bench.submit(JOB_TASKS);
    }
    bench.offerAll();
    std::size_t done = 0;
    const std::uint64_t bytesBefore = bench.output_.bytes;
    const double begun = cpuSeconds();
    while (done < MEASURED_TASKS) {
        const std::size_t finished = bench.finishGrants();
        done += finished;
        for (std::size_t queued = 0; queued < std::max<std::size_t>(finished, JOB_TASKS); queued += JOB_TASKS) {
            bench.submit(JOB_TASKS);
        }
    }
    const double seconds = cpuSeconds() - begun;
    fmt::print("entry task: endpoints {:5} waiting {:6}: {:6.2f} us, {:5.0f} bytes to agents\n", endpoints, waiting,
               seconds * 1e6 / static_cast<double>(done),
               static_cast<double>(bench.output_.bytes - bytesBefore) / static_cast<double>(done));
}

/** Processor time of an entry without work, for heartbeats of its agents and ticks. */
void benchIdleEntry(std::size_t endpoints)
{
    EntryBench bench(endpoints, 1'000);
    constexpr int TICKS = 500;
    const std::uint64_t bytesBefore = bench.output_.bytes;
    const double begun = cpuSeconds();
    for (int tick = 0; tick < TICKS; ++tick) {
        bench.tick();
    }
    const double perAgent = (cpuSeconds() - begun) / TICKS / static_cast<double>(endpoints);
    fmt::print("entry heartbeat: endpoints {:5}: {:6.2f} us, {:4.0f} bytes back, each heartbeat with its share of a tick\n", endpoints,
               perAgent * 1e6, static_cast<double>(bench.output_.bytes - bytesBefore) / TICKS / static_cast<double>(endpoints));
}

/** Memory of answered jobs that are retained. */
void benchRetainedJobs(std::size_t jobs)
{
    const double before = allocatedBytes();
    EntryBench bench(100, jobs + 10);
    bench.offerAll();
    for (std::size_t job = 0; job < jobs; ++job) {
        bench.submit(JOB_TASKS);
        while (bench.finishGrants() > 0) { }
    }
    fmt::print("entry retained job of {} tasks: jobs {:6}: {:6.0f} bytes\n", JOB_TASKS, jobs,
               (allocatedBytes() - before) / static_cast<double>(jobs));
}

class AgentBenchOutput : public AgentOutput
{
public:
    void sendToEntry(Incarnation, wire::Message message) override
    {
        bytes += message.ByteSizeLong();
    }

    void resetEntry(Incarnation) override
    { }

    void startTask(const TaskKey &key, std::string_view, std::string_view, Duration) override
    {
        started.push_back(key);
    }

    void stopTask(const TaskKey &) override
    { }
    void rosterChanged(const wire::Roster &) override
    { }

    std::vector<TaskKey> started;
    std::uint64_t bytes = 0;
};

/** Processor time and memory of a task at an agent: grant, start, result, record. */
void benchAgent(std::size_t records)
{
    AgentBenchOutput output;
    AgentSettings settings;
    settings.name = std::string("endpoint");
    settings.service = std::string("s");
    settings.incarnation = toIncarnation(5);
    settings.slots = SLOTS;
    settings.maxRecords = 10'000'000;
    settings.maxRecordBytes = std::size_t{4} << 30U;
    const double before = allocatedBytes();
    AgentCore core(settings, output);
    Instant now{Millis(1'000'000)};
    const Incarnation entry = toIncarnation(9);
    core.onEntryConnected(entry, now);
    wire::Message admit;
    admit.mutable_admit()->mutable_roster()->set_version(1);
    admit.mutable_admit()->mutable_roster()->add_members()->set_incarnation(9);
    core.onEntryMessage(entry, admit, now);
    const double begun = cpuSeconds();
    for (std::size_t task = 0; task < records; ++task) {
        wire::Message message;
        wire::Grant *grant = message.mutable_grant();
        grant->set_submission_id(fmt::format("mm-0123456789abcdef-{:016x}", task / JOB_TASKS));
        grant->set_index(static_cast<std::uint32_t>(task % JOB_TASKS));
        grant->set_stamp(static_cast<std::uint64_t>(now.time_since_epoch().count()));
        grant->set_payload("{\"kit\":\"hopscotch\"}");
        core.onEntryMessage(entry, message, now);
        for (const TaskKey &key : output.started) {
            core.onTaskFinished(key, {wire::TASK_COMPLETE, Reason::None, "{\"free\":true}"}, now);
        }
        output.started.clear();
    }
    const double seconds = cpuSeconds() - begun;
    fmt::print("agent task: records {:7}: {:6.2f} us, {:4.0f} bytes to entries, {:5.0f} bytes of memory a record\n", records,
               seconds * 1e6 / static_cast<double>(records), static_cast<double>(output.bytes) / static_cast<double>(records),
               (allocatedBytes() - before) / static_cast<double>(records));
}

}

int main()
{
    for (const std::size_t records : {2'000, 12'000, 100'000}) {
        benchAgent(records);
    }
    for (const std::size_t endpoints : {11, 100, 1'000}) {
        benchEntry(endpoints, 10);
    }
    for (const std::size_t waiting : {1'000, 10'000, 100'000}) {
        benchEntry(100, waiting);
    }
    for (const std::size_t endpoints : {11, 100, 1'000}) {
        benchIdleEntry(endpoints);
    }
    for (const std::size_t jobs : {2'000, 10'000, 50'000}) {
        benchRetainedJobs(jobs);
    }
    return 0;
}
