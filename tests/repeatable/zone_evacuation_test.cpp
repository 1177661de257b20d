/** @file zone_evacuation_test.cpp Tests of the evacuation of availability zones at entries and agents. */

#include "fake_endpoint.h"
#include "repeatable/repeatable_job_agent.h"
#include "repeatable/repeatable_job_entry.h"
#include "repeatable/zone_evacuation.h"
#include "repeatable_job_recorder.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <rapidcheck.h>
#include <utility>

namespace
{

using namespace medlarmill;
using namespace medlarmill::fake;

repeat::Message zoneMessage(std::uint64_t version, const ZoneNames &zones)
{
    repeat::Message message;
    message.mutable_zone_state()->set_version(version);
    for (const std::string &zone : zones) {
        message.mutable_zone_state()->add_evacuated(zone);
    }
    return message;
}

ZoneNames namesOf(const ZoneEvacuation &zones)
{
    ZoneNames names;
    for (const auto &[zone, since] : zones.evacuatedSince()) {
        names.insert(zone);
    }
    return names;
}

/** The operators' rows over time: each version evacuates a zone or returns it. */
class History
{
public:
    /** Makes the next version. @param zone the zone to be evacuated, or returned when it is. */
    void toggle(const std::string &zone)
    {
        ZoneNames zones = states_.back();
        if (zones.erase(zone) == 0) {
            zones.insert(zone);
        }
        states_.push_back(std::move(zones));
    }
    std::uint64_t newest() const
    {
        return states_.size() - 1;
    }
    const ZoneNames &at(std::uint64_t version) const
    {
        return states_[version];
    }
    /** @return the changes after a version, up to another. */
    ZoneRead changes(std::uint64_t since, std::uint64_t version) const
    {
        ZoneRead read{version, false, {}, {}};
        for (std::uint64_t step = since + 1; step <= version; ++step) {
            for (const ZoneNames *from : {&at(step - 1), &at(step)}) {
                for (const std::string &zone : *from) {
                    if (at(step - 1).contains(zone) == at(step).contains(zone)) {
                        continue;
                    }
                    read.present.erase(zone);
                    read.removed.erase(zone);
                    (at(step).contains(zone) ? read.present : read.removed).insert(zone);
                }
            }
        }
        return read;
    }

private:
    std::vector<ZoneNames> states_{{}};
};

/** Entries with links to each other. */
class Entries
{
public:
    explicit Entries(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            nodes_.push_back(std::make_unique<Node>(*this, index));
        }
    }
    ZoneExchange &at(std::size_t index)
    {
        return nodes_[index]->exchange;
    }
    void link(std::size_t first, std::size_t second)
    {
        links_.insert({first, second});
        links_.insert({second, first});
        at(first).onLinkUp(toIncarnation(second + 1));
        at(second).onLinkUp(toIncarnation(first + 1));
    }
    void cut(std::size_t first, std::size_t second)
    {
        links_.erase({first, second});
        links_.erase({second, first});
        at(first).onLinkDown(toIncarnation(second + 1));
        at(second).onLinkDown(toIncarnation(first + 1));
    }
    void restart(std::size_t index)
    {
        nodes_[index] = std::make_unique<Node>(*this, index);
    }

private:
    struct Node : public LinkOutput
    {
        Node(Entries &owner, std::size_t number)
            : entries(owner)
            , index(number)
        { }
        void sendTo(Incarnation peer, repeat::Message message) override
        {
            const auto to = static_cast<std::size_t>(toWire(peer)) - 1;
            if (entries.links_.contains({index, to})) {
                entries.at(to).onPeerState(message.zone_state(), START_TIME);
            }
        }
        void resetLink(Incarnation /*peer*/) override
        { }

        Entries &entries;
        std::size_t index;
        NullEventLog log;
        ZoneExchange exchange{*this, log, [] {}};
    };

    std::vector<std::unique_ptr<Node>> nodes_;
    std::set<std::pair<std::size_t, std::size_t>> links_;
};

}

TEST_CASE("an older state never replaces a newer one, in any order of arrival")
{
    rc::check("the newest state that arrived is in force",
              [](const std::vector<std::uint8_t> &toggled, const std::vector<std::uint8_t> &order) {
                  History history;
                  for (const std::uint8_t zone : toggled) {
                      history.toggle(std::string(1, static_cast<char>('a' + zone % 3)));
                  }
                  ZoneEvacuation zones;
                  std::uint64_t newest = 0;
                  for (const std::uint8_t pick : order) {
                      const std::uint64_t version = pick % (history.newest() + 1);
                      newest = std::max(newest, version);
                      zones.merge(zoneMessage(version, history.at(version)).zone_state(), START_TIME);
                      RC_ASSERT(zones.version() == newest);
                      RC_ASSERT(namesOf(zones) == history.at(newest));
                  }
              });
}

TEST_CASE("changes read from the table fit on states that peers told meanwhile")
{
    rc::check("the set is always that of its version",
              [](const std::vector<std::uint8_t> &toggled, const std::vector<std::uint8_t> &steps) {
                  History history;
                  for (const std::uint8_t zone : toggled) {
                      history.toggle(std::string(1, static_cast<char>('a' + zone % 3)));
                  }
                  ZoneEvacuation zones;
                  std::uint64_t read = 0;
                  for (const std::uint8_t step : steps) {
                      const std::uint64_t version = std::min<std::uint64_t>(history.newest(), read + step % 8);
                      switch (step / 8 % 3) {
                      case 0:
                          zones.merge(zoneMessage(version, history.at(version)).zone_state(), START_TIME);
                          break;
                      case 1:
                          zones.merge(history.changes(read, version), START_TIME);
                          read = version;
                          break;
                      default: // The history was lost, and the table was listed.
                          zones.merge(ZoneRead{version, true, history.at(version), {}}, START_TIME);
                          read = version;
                          break;
                      }
                      RC_ASSERT(namesOf(zones) == history.at(zones.version()));
                  }
              });
}

TEST_CASE("a zone evacuated and returned within a second, before a read, changes nothing and raises the version")
{
    ZoneEvacuation zones;
    zones.merge(ZoneRead{4, true, {}, {}}, START_TIME);
    CHECK_FALSE(zones.merge(ZoneRead{9, false, {}, {"a"}}, START_TIME).any());
    CHECK(zones.version() == 9);
    CHECK_FALSE(zones.merge(zoneMessage(8, {"a"}).zone_state(), START_TIME).any());
}

TEST_CASE("a name that would break a line of the log or the metrics page is encoded")
{
    CHECK(printableZone("giza-1") == "giza-1");
    CHECK(printableZone("a\"} 1\n") == "a%22%7D%201%0A");
}

TEST_CASE("an entry without the table learns changes from its peers, also over a link that was down meanwhile")
{
    Entries entries(3);
    entries.link(0, 1);
    entries.link(1, 2);
    entries.at(0).onRead({10, true, {"a"}, {}}, START_TIME);
    CHECK(entries.at(2).zones().isEvacuated("a"));
    entries.cut(1, 2);
    entries.at(0).onRead({12, false, {"b", "unknown"}, {"a"}}, START_TIME);
    CHECK(entries.at(2).zones().isEvacuated("a"));
    entries.link(1, 2);
    CHECK(namesOf(entries.at(2).zones()) == ZoneNames{"b", "unknown"});
    // A peer that was away with an older state does not bring it back.
    entries.cut(0, 1);
    entries.at(0).onRead({20, false, {}, {"b", "unknown"}}, START_TIME);
    entries.link(0, 1);
    CHECK(namesOf(entries.at(2).zones()).empty());
    CHECK(entries.at(2).zones().version() == 20);
}

TEST_CASE("an entry that restarts during an evacuation learns of it before the table answers")
{
    Entries entries(2);
    entries.link(0, 1);
    entries.at(0).onRead({10, true, {"a"}, {}}, START_TIME);
    entries.cut(0, 1);
    entries.restart(1);
    entries.link(0, 1);
    CHECK(entries.at(1).zones().isEvacuated("a"));
    // The table has lost its history: the list replaces the set.
    entries.at(1).onRead({15, true, {"c"}, {}}, START_TIME);
    CHECK(namesOf(entries.at(0).zones()) == ZoneNames{"c"});
}

TEST_CASE("a part of the table adds zones, takes none back, and is not told to peers")
{
    Entries entries(2);
    entries.link(0, 1);
    entries.at(0).onRead({10, false, {"a"}, {}}, START_TIME);
    CHECK(entries.at(0).zones().isEvacuated("a"));
    CHECK(entries.at(1).zones().version() == 0);
    entries.at(1).onRead({9, true, {"b"}, {}}, START_TIME);
    CHECK(namesOf(entries.at(1).zones()) == ZoneNames{"b"});
    entries.at(0).onRead({11, true, {"a", "b"}, {}}, START_TIME);
    CHECK(namesOf(entries.at(1).zones()) == ZoneNames{"a", "b"});
}

namespace
{

/** An agent with an endpoint whose calls wait until they are carried out. */
struct Agent : public EndpointApi
{
    Agent()
        : core(settings(), recorder, *this, log)
    {
        core.onEntryUp(ENTRY, now);
        core.onNotice(endpoint.notice(now), now);
        runFor(Millis(40));
    }

    static RepeatableJobAgentSettings settings()
    {
        RepeatableJobAgentSettings settings{"agent", "a", AGENT};
        settings.coldExcess = 1.5;
        return settings;
    }
    void start(const EndpointCall &call, const RunName &run, const std::string & /*spec*/,
               std::function<void(EndpointAnswer)> done) override
    {
        ++starts;
        pending.emplace_back([this, call, run, done] {
            EndpointAnswer answer = losesStarts ? EndpointAnswer() : endpoint.start(call, run, Millis(100), false, {3'000, 64, 0}, now);
            answer.at = now;
            done(answer);
        });
    }
    void stop(const EndpointCall &call, const RunName &run, std::function<void(EndpointAnswer)> done) override
    {
        pending.emplace_back([this, call, run, done] {
            done(endpoint.stop(call, run, now));
        });
    }
    void poll(const EndpointCall &call, std::uint64_t acknowledged, Millis /*wait*/, std::function<void(EndpointPollResult)> done) override
    {
        pending.emplace_back([this, call, acknowledged, done] {
            done(endpoint.poll(call, acknowledged, now));
        });
    }
    void executePending()
    {
        endpoint.advance(now);
        for (const auto &call : std::exchange(pending, {})) {
            call();
        }
    }
    void ping(Instant stamp)
    {
        repeat::Message message;
        message.mutable_entry_ping()->set_stamp(toMillis(stamp.time_since_epoch()));
        core.onEntryMessage(ENTRY, message, now);
    }
    void runFor(Duration span)
    {
        for (const Instant end = now + span; now < end; now += Millis(10)) {
            executePending();
            ping(now);
            core.tick(now);
        }
    }
    void order(std::uint64_t number)
    {
        order(number, now);
    }
    /** @param stamp stamp of the agent that the entry quotes. */
    void order(std::uint64_t number, Instant stamp)
    {
        repeat::Message message;
        repeat::RunOrder *order = message.mutable_run_order();
        order->set_order(number);
        order->set_submission("j" + std::to_string(number));
        order->set_attempt(1);
        order->set_cpu(3'000);
        order->set_mem(64);
        order->set_time_left_ms(5'000);
        order->set_expected_ms(100);
        order->set_stamp(toMillis(stamp.time_since_epoch()));
        core.onEntryMessage(ENTRY, message, now);
    }
    void tell(std::uint64_t version, const ZoneNames &zones)
    {
        core.onEntryMessage(ENTRY, zoneMessage(version, zones), now);
    }
    /** @return number of runs by outcome and reason. */
    std::map<std::pair<repeat::RunOutcome, Reason>, int> ends() const
    {
        std::map<std::pair<repeat::RunOutcome, Reason>, int> counts;
        for (const repeat::Message &message : recorder.sent) {
            if (message.has_run_report()) {
                ++counts[{message.run_report().outcome(), static_cast<Reason>(message.run_report().reason())}];
            }
        }
        return counts;
    }
    bool isAcceptingReported() const
    {
        const auto report = std::find_if(recorder.sent.rbegin(), recorder.sent.rend(), [](const repeat::Message &message) {
            return message.has_load_report();
        });
        return report != recorder.sent.rend() && report->load_report().accepting();
    }

    static constexpr Incarnation ENTRY{9};
    OutputRecorder recorder;
    Oracle oracle;
    FakeEndpoint endpoint{1, oracle};
    std::vector<std::function<void()>> pending;
    int starts = 0;
    bool losesStarts = false;
    RecordingLog log;
    Instant now = START_TIME;
    RepeatableJobAgent core;
};

constexpr std::pair NOT_STARTED{repeat::RUN_NOT_STARTED, Reason::Evacuated};
constexpr std::pair DONE{repeat::RUN_DONE, Reason::None};

}

TEST_CASE_FIXTURE(Agent, "an evacuated agent refuses and hands back, finishes its runs, and works again when its zone returns")
{
    for (std::uint64_t number = 1; number <= 8; ++number) {
        order(number);
    }
    runFor(Millis(20));
    REQUIRE(starts == 5);
    tell(7, {"a", "b"});
    runFor(Millis(30));
    CHECK_FALSE(isAcceptingReported());
    CHECK(ends()[NOT_STARTED] == 3);
    order(9);
    CHECK(ends()[NOT_STARTED] == 4);
    runFor(Millis(300));
    CHECK(ends()[DONE] == 5);
    CHECK(starts == 5);
    CHECK(std::ranges::count(log.lines, "event=zone_evacuated zone=a version=7 source=peer returned=3 runs_left=5") == 1);
    tell(6, {});
    CHECK(core.isEvacuated());
    tell(8, {"b"});
    order(10);
    runFor(Millis(300));
    CHECK(isAcceptingReported());
    CHECK(ends()[DONE] == 6);
}

TEST_CASE_FIXTURE(Agent, "the evacuation of other and unknown zones does not concern an agent")
{
    tell(7, {"b", "", "no such zone"});
    order(1);
    runFor(Millis(200));
    CHECK(ends()[DONE] == 1);
    CHECK(isAcceptingReported());
}

TEST_CASE("no start is sent after the state is known, at whichever step of an order it arrives")
{
    // 5 runs fill the endpoint, 3 wait; lost starts are repeated three times, 10 ms after each other here.
    for (const bool losesStarts : {false, true}) {
        for (int step = 0; step < 40; ++step) {
            CAPTURE(losesStarts);
            CAPTURE(step);
            Agent agent;
            agent.losesStarts = losesStarts;
            for (std::uint64_t number = 1; number <= 8; ++number) {
                agent.order(number);
            }
            for (int done = 0; done < step; ++done) {
                // Each step is one event: answers of the endpoint, a message of the entry, or a tick.
                switch (done % 3) {
                case 0:
                    agent.executePending();
                    break;
                case 1:
                    agent.ping(agent.now);
                    break;
                default:
                    agent.core.tick(agent.now);
                    agent.now += Millis(10);
                    break;
                }
            }
            agent.tell(7, {"a"});
            const int before = agent.starts;
            agent.order(9);
            agent.runFor(Millis(1'000));
            CHECK(agent.starts == before);
            CHECK(agent.core.unfinishedRuns() == 0);
        }
    }
}

TEST_CASE("an agent that was paused over the change starts nothing before it has heard of it")
{
    for (const bool losesStarts : {false, true}) {
        CAPTURE(losesStarts);
        Agent agent;
        agent.losesStarts = losesStarts;
        for (std::uint64_t number = 1; number <= 8; ++number) {
            agent.order(number);
        }
        agent.runFor(Millis(20));
        const int before = agent.starts;
        const Instant pausedAt = agent.now;
        agent.now += Millis(2'000);
        // Answers of the endpoint are handled before the messages that arrived during the pause, which quote stamps from before it.
        agent.executePending();
        agent.executePending();
        agent.ping(pausedAt);
        agent.order(9, pausedAt);
        agent.tell(7, {"a"});
        agent.runFor(Millis(1'000));
        CHECK(agent.starts == before);
        CHECK(agent.core.unfinishedRuns() == 0);
    }
}

namespace
{

/** An entry with an agent in each of three zones. */
struct ZonedEntry
{
    ZonedEntry()
        : entry({"entry", "a", Incarnation{5}}, recorder, recorder, log)
    {
        for (const std::string zone : {"a", "b", "c"}) {
            repeat::AgentHello hello;
            hello.set_incarnation(toWire(agentOf(zone)));
            hello.set_name("agent-" + zone);
            hello.set_zone(zone);
            hello.set_evidence_ms(3'000);
            entry.onAgentUp(hello, now);
            repeat::Message message;
            repeat::LoadReport *load = message.mutable_load_report();
            load->set_stamp(toMillis(now.time_since_epoch()));
            load->set_service("desk");
            load->set_accepting(true);
            load->set_cpu_total(16'000);
            load->set_cpu_free(16'000);
            load->set_mem_free(4'096);
            load->set_slowdown_percent(100);
            entry.onAgentMessage(agentOf(zone), message, now);
        }
        now += Millis(60); // Links settle.
    }

    static Incarnation agentOf(const std::string &zone)
    {
        return toIncarnation(static_cast<std::uint64_t>(zone[0]));
    }
    void submit(std::uint64_t caller, std::uint32_t count)
    {
        RepeatableJob job;
        job.id = "j" + std::to_string(caller);
        job.groups = {{count, {3'000, 64, 0}, Millis(100), {}, "", "", 0}};
        job.policy = {"check", "desk", 0, 2, 1.6, Millis(60), Millis(0)};
        job.callerTimeout = Millis(2'000);
        entry.submit(CallerToken{caller}, job, now);
        entry.dispatchTasks(now);
    }
    std::size_t outstanding(const std::string &zone) const
    {
        return entry.placement().outstandingOrders(zone);
    }

    OutputRecorder recorder;
    NullEventLog log;
    RepeatableJobEntry entry;
    Instant now = START_TIME;
};

}

TEST_CASE_FIXTURE(ZonedEntry, "an entry orders nothing in evacuated zones and does not count their capacity")
{
    CHECK(entry.placement().availableCpu("desk") == 48'000);
    entry.setEvacuatedZones({"a", "c", "unknown"});
    CHECK(entry.placement().availableCpu("desk") == 16'000);
    submit(1, 8);
    CHECK(outstanding("a") + outstanding("c") == 0);
    CHECK(outstanding("b") == 5);
    entry.setEvacuatedZones({"unknown"});
    entry.dispatchTasks(now);
    CHECK(outstanding("a") + outstanding("b") + outstanding("c") == 8);
}

TEST_CASE_FIXTURE(ZonedEntry, "with all zones evacuated a job is refused at once with a retry time, and served after one returns")
{
    entry.setEvacuatedZones({"a", "b", "c"});
    submit(1, 1);
    REQUIRE(recorder.answers.contains(CallerToken{1}));
    const JobOutcome &outcome = recorder.answers.at(CallerToken{1});
    CHECK(outcome.result == JobResult::NotRun);
    CHECK(outcome.reason == Reason::Evacuated);
    CHECK(outcome.retryAfter > Duration(0));
    entry.setEvacuatedZones({"a", "b"});
    submit(2, 1);
    CHECK(outstanding("c") == 1);
}

TEST_CASE_FIXTURE(ZonedEntry, "a task that an agent refuses as evacuated is ordered in another zone, before the entry itself knows")
{
    submit(1, 1);
    REQUIRE(outstanding("a") == 1);
    repeat::Message load;
    load.mutable_load_report()->set_stamp(toMillis(now.time_since_epoch()));
    load.mutable_load_report()->set_service("desk");
    entry.onAgentMessage(agentOf("a"), load, now);
    repeat::Message message;
    message.mutable_run_report()->set_order(recorder.orders()[0].order());
    message.mutable_run_report()->set_outcome(repeat::RUN_NOT_STARTED);
    message.mutable_run_report()->set_reason(static_cast<std::uint32_t>(Reason::Evacuated));
    entry.onAgentMessage(agentOf("a"), message, now);
    entry.dispatchTasks(now);
    CHECK(outstanding("a") == 0);
    CHECK(outstanding("b") + outstanding("c") == 1);
}

TEST_CASE_FIXTURE(Agent, "a cold endpoint is reported as such and does not count as slow when it is warm")
{
    const auto newestLoad = [this] {
        return std::find_if(recorder.sent.rbegin(), recorder.sent.rend(),
                            [](const repeat::Message &message) {
                                return message.has_load_report();
                            })
            ->load_report();
    };
    endpoint.slowdown = 1.5;
    EndpointNotice notice = endpoint.notice(now);
    notice.coldLeft = Millis(4'000);
    core.onNotice(notice, now);
    for (std::uint64_t number = 1; number <= 20; ++number) {
        order(number);
        runFor(Millis(180));
    }
    CHECK(ends()[DONE] == 20);
    CHECK(newestLoad().cold_left_ms() <= 400 + 150); // The newest report may be 150 ms old.
    CHECK(newestLoad().cold_left_ms() > 0);
    CHECK(newestLoad().slowdown_percent() < 115);
    runFor(Millis(600));
    CHECK(newestLoad().cold_left_ms() == 0);
}

TEST_CASE("a cold endpoint gets work that finds no other room, and its share back before it is warm")
{
    Placement placement("a", 1.5);
    const auto report = [&placement](std::uint64_t agent, std::uint32_t freeCpu, std::uint32_t coldLeftMs) {
        AgentStatus &status = placement.agents()[toIncarnation(agent)];
        status.linkUp = true;
        status.zone = "a";
        repeat::LoadReport load;
        load.set_accepting(true);
        load.set_service("desk");
        load.set_cpu_total(16'000);
        load.set_cpu_free(freeCpu);
        load.set_mem_free(4'096);
        load.set_slowdown_percent(100);
        load.set_cold_left_ms(coldLeftMs);
        placement.onLoadReport(toIncarnation(agent), load);
    };
    TaskGroup group;
    group.count = 1;
    group.demand = {3'000, 64, 0};
    PlacementRequest request;
    request.group = &group;
    request.service = "desk";
    request.expectedRunTime = Millis(100);
    const auto chosen = [&] {
        return toWire(placement.chooseAgent(request).agent);
    };
    report(1, 4'000, 0);
    report(2, 16'000, 10'000);
    CHECK(chosen() == 1);
    report(1, 2'000, 0);
    CHECK(chosen() == 2);
    report(1, 4'000, 0);
    report(2, 16'000, 500);
    CHECK(chosen() == 2);
}
