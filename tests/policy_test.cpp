/** @file policy_test.cpp The parts of the policy on their own: fairness, limits, order, circuit breaker, run times, rings. */

#include "entry_logic/dispatcher.h"
#include "entry_logic/estimator.h"
#include "entry_logic/quarantine.h"
#include "net/doorbell.h"
#include "net/ring.h"

#include <doctest/doctest.h>
#include <map>
#include <thread>

using namespace medlarmill;

namespace
{

constexpr Instant NOW{Millis(1'000'000)};
constexpr Incarnation AGENT{1};

std::vector<WaitingTask> tasksOf(std::uint32_t count, Duration expected, bool isLong = false)
{
    std::vector<WaitingTask> tasks;
    for (std::uint32_t index = 0; index < count; ++index) {
        tasks.push_back({TaskIndex{index}, expected, isLong});
    }
    return tasks;
}

}

TEST_CASE("teams share by weight")
{
    Dispatcher dispatcher;
    dispatcher.addAgent(AGENT, "s", true);
    dispatcher.enqueue("s", "a", 1, JobSequence{1}, tasksOf(300, Millis(100)), 8, NOW);
    dispatcher.enqueue("s", "b", 3, JobSequence{2}, tasksOf(300, Millis(100)), 8, NOW);
    std::map<JobSequence, int> served;
    for (int turn = 0; turn < 200; ++turn) {
        dispatcher.addCredits(AGENT, {1, 0});
        ++served[dispatcher.next("s", NOW)->job];
    }
    CHECK(served[JobSequence{1}] == 50);
    CHECK(served[JobSequence{2}] == 150);
}

TEST_CASE("a small job goes before a large one, and a large one is not starved")
{
    Dispatcher dispatcher;
    dispatcher.addAgent(AGENT, "s", true);
    dispatcher.enqueue("s", "a", 1, JobSequence{1}, tasksOf(100, Millis(500)), 8, NOW);
    dispatcher.enqueue("s", "a", 1, JobSequence{2}, tasksOf(1, Millis(500)), 8, NOW + Millis(10));
    dispatcher.addCredits(AGENT, {1, 0});
    CHECK(dispatcher.next("s", NOW)->job == JobSequence{2});
    dispatcher.enqueue("s", "a", 1, JobSequence{3}, tasksOf(1, Millis(500)), 8, NOW + Millis(200'000));
    dispatcher.addCredits(AGENT, {1, 0});
    CHECK(dispatcher.next("s", NOW)->job == JobSequence{1});
}

TEST_CASE("long tasks leave short-only slots free")
{
    Dispatcher dispatcher;
    dispatcher.addAgent(AGENT, "s", true);
    dispatcher.addCredits(AGENT, {0, 1});
    dispatcher.enqueue("s", "a", 1, JobSequence{1}, tasksOf(1, Millis(9'000), true), 8, NOW);
    CHECK(!dispatcher.next("s", NOW));
    dispatcher.enqueue("s", "a", 1, JobSequence{2}, tasksOf(1, Millis(100)), 8, NOW);
    const auto assignment = dispatcher.next("s", NOW);
    REQUIRE(assignment);
    CHECK(assignment->job == JobSequence{2});
    CHECK(assignment->usesShortOnlyCredit);
}

TEST_CASE("the concurrency limit holds and cancelled tasks are gone")
{
    Dispatcher dispatcher;
    dispatcher.addAgent(AGENT, "s", true);
    dispatcher.setConcurrencyLimit("s", 2);
    dispatcher.addCredits(AGENT, {8, 0});
    dispatcher.enqueue("s", "a", 1, JobSequence{1}, tasksOf(5, Millis(100)), 8, NOW);
    CHECK(dispatcher.next("s", NOW));
    CHECK(dispatcher.next("s", NOW));
    CHECK(!dispatcher.next("s", NOW));
    dispatcher.cancel("s", JobSequence{1});
    dispatcher.onTaskEnded("s");
    CHECK(!dispatcher.next("s", NOW));
    CHECK(dispatcher.waiting("s") == 0);
    CHECK(dispatcher.backlog("s") == Duration{0});
    CHECK(dispatcher.idleCredits("s") == 6);
}

TEST_CASE("the circuit breaker takes out a third at most and tries again")
{
    Quarantine quarantine;
    for (std::uint64_t agent = 1; agent <= 6; ++agent) {
        quarantine.add(toIncarnation(agent));
    }
    for (std::uint64_t agent = 1; agent <= 6; ++agent) {
        for (int failure = 0; failure < 10; ++failure) {
            quarantine.onTaskOutcome(toIncarnation(agent), false, NOW);
        }
    }
    CHECK(quarantine.quarantinedCount() == 2);
    CHECK(!quarantine.isUsable(AGENT, NOW));
    CHECK(quarantine.isUsable(AGENT, NOW + Millis(60'000)));
    quarantine.onGrant(AGENT);
    CHECK(!quarantine.isUsable(AGENT, NOW + Millis(60'000)));
    CHECK(quarantine.onTaskOutcome(AGENT, true, NOW + Millis(60'000)));
    CHECK(quarantine.isUsable(AGENT, NOW + Millis(60'000)));
    CHECK(quarantine.quarantinedCount() == 1);
}

TEST_CASE("run times are learned whether declarations are right or noise")
{
    RunTimeEstimator right;
    RunTimeEstimator noise;
    for (int round = 0; round < 200; ++round) {
        right.recordRunTime("s", "k", 100, Millis(100));
        right.recordRunTime("s", "k", 4'000, Millis(4'000));
        noise.recordRunTime("s", "k", round % 2 == 0 ? 100 : 4'000, Millis(500));
    }
    CHECK(toMillis(right.estimate("s", "k", 100)) == 100);
    CHECK(toMillis(right.estimate("s", "k", 4'000)) == 4'000);
    CHECK(toMillis(noise.estimate("s", "k", 100)) == 500);
    CHECK(toMillis(noise.estimate("s", "k", 4'000)) == 500);
}

TEST_CASE("a ring keeps order between two threads and refuses when it is full")
{
    constexpr int ITEMS = 200'000;
    ThreadDoorbell bell;
    BoundedRing<int> ring(64, bell);
    std::thread writer([&ring] {
        for (int number = 0; number < ITEMS; ++number) {
            auto item = std::make_unique<int>(number);
            while (!ring.tryPush(item)) {
                std::this_thread::yield();
            }
        }
    });
    int expected = 0;
    while (expected < ITEMS) {
        bell.wait(Millis(10));
        while (const auto item = ring.tryPop()) {
            REQUIRE(*item == expected);
            ++expected;
        }
    }
    writer.join();
    for (int number = 0; number < 64; ++number) {
        auto item = std::make_unique<int>(number);
        CHECK(ring.tryPush(item));
    }
    auto overflowing = std::make_unique<int>(0);
    CHECK(!ring.tryPush(overflowing));
    CHECK(overflowing != nullptr);
}
