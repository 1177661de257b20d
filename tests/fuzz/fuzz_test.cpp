/** @file fuzz_test.cpp Stateful fuzzing of the real decision objects against the oracle, and of the fuzzer itself. */

#include "world.h"

#include <doctest/doctest.h>
#include <iostream>
#include <rapidcheck.h>

namespace
{

using namespace medlarmill;
using namespace medlarmill::test;

/** What a step does; the numbers of a step are its arguments, taken modulo what is possible. */
enum class Op {
    Submit,
    SubmitFast,
    Resubmit,
    Fetch,
    Cancel,
    Advance,
    KillEntry,
    KillAgent,
    StartNode,
    PauseNode,
    ResumeNode,
    Cut,
    CutBoth,
    HealLink,
    Break,
    Delay,
    StoreDown,
    StoreUp,
    LoseReply,
    DrainEntry,
    DrainAgent,
    Config,
    JumpClock,
};

struct Step
{
    Op op = Op::Advance;
    int a = 0;
    int b = 0;
    int c = 0;
};

std::ostream &operator<<(std::ostream &stream, const Step &step)
{
    return stream << "{Op(" << static_cast<int>(step.op) << ")," << step.a << ',' << step.b << ',' << step.c << '}';
}

rc::Gen<Step> genStep()
{
    const auto op = rc::gen::weightedElement<Op>(
        {{12, Op::Submit},   {8, Op::SubmitFast}, {8, Op::Resubmit},   {3, Op::Fetch},     {2, Op::Cancel},     {16, Op::Advance},
         {3, Op::KillEntry}, {2, Op::KillAgent},  {4, Op::StartNode},  {2, Op::PauseNode}, {3, Op::ResumeNode}, {3, Op::Cut},
         {2, Op::CutBoth},   {4, Op::HealLink},   {3, Op::Break},      {1, Op::Delay},     {1, Op::StoreDown},  {2, Op::StoreUp},
         {1, Op::LoseReply}, {1, Op::DrainEntry}, {1, Op::DrainAgent}, {1, Op::Config},    {1, Op::JumpClock}});
    return rc::gen::map(rc::gen::tuple(op, rc::gen::inRange(0, 1000), rc::gen::inRange(0, 1000), rc::gen::inRange(0, 1000)),
                        [](const auto &parts) {
                            return Step{std::get<0>(parts), std::get<1>(parts), std::get<2>(parts), std::get<3>(parts)};
                        });
}

std::string idOf(int number)
{
    return "id-" + std::to_string(number % 12);
}

void apply(World &world, const Step &step)
{
    static constexpr std::uint32_t RUN_MS[] = {10, 200, 1'500, 6'000};
    static constexpr std::uint32_t DEADLINE_MS[] = {500, 5'000, 20'000};
    static constexpr int DELAY_MS[] = {1, 5, 100, 700};
    const int entry = step.a % ENTRY_COUNT;
    const int node = step.a % NODE_COUNT;
    const int other = step.b % NODE_COUNT;
    const auto tasks = static_cast<std::uint32_t>(1 + step.c % 4);
    switch (step.op) {
    case Op::Submit:
        world.submit(entry, idOf(step.b), 1 + static_cast<std::uint32_t>(step.b % 3), 1, RUN_MS[step.c % 4], DEADLINE_MS[step.c / 4 % 3],
                     step.c % 2 == 0);
        break;
    case Op::SubmitFast:
        world.submit(entry, step.c % 5 == 0 ? "" : idOf(step.b), 1 + static_cast<std::uint32_t>(step.b % 3), 1, RUN_MS[step.c % 2], 20'000,
                     false);
        break;
    case Op::Resubmit:
        world.submit(entry, idOf(step.b), tasks, step.c % 3, RUN_MS[step.c % 3], 5'000, false);
        break;
    case Op::Fetch:
        world.fetch(entry, idOf(step.b));
        break;
    case Op::Cancel:
        world.cancel(entry, idOf(step.b));
        break;
    case Op::Advance:
        world.advance(Millis(1 + (step.c % 3 == 0 ? step.a * 5 : step.a % 200)));
        break;
    case Op::KillEntry:
        world.kill(entry, step.b % 3 == 0);
        break;
    case Op::KillAgent:
        world.kill(ENTRY_COUNT + step.a % AGENT_COUNT, step.b % 3 == 0);
        break;
    case Op::StartNode:
        world.start(node);
        break;
    case Op::PauseNode:
        world.pause(node);
        break;
    case Op::ResumeNode:
        world.resume(node);
        break;
    case Op::Cut:
        world.cut(node, other, true);
        break;
    case Op::CutBoth:
        world.cut(node, other, true);
        world.cut(other, node, true);
        break;
    case Op::HealLink:
        world.cut(node, other, false);
        world.cut(other, node, false);
        break;
    case Op::Break:
        world.breakConnection(node, other);
        break;
    case Op::Delay:
        world.setDelay(Millis(DELAY_MS[step.a % 4]));
        break;
    case Op::StoreDown:
        world.setStore(false);
        break;
    case Op::StoreUp:
        world.setStore(true);
        break;
    case Op::LoseReply:
        world.loseStoreReply();
        break;
    case Op::DrainEntry:
        world.drain(entry);
        break;
    case Op::DrainAgent:
        world.drain(ENTRY_COUNT + step.a % AGENT_COUNT);
        break;
    case Op::Config:
        world.submitConfig();
        break;
    case Op::JumpClock:
        world.jumpClock(node, Millis(step.b * 5));
        break;
    }
}

/** Totals over all runs, for the report. */
struct Totals
{
    std::uint64_t runs = 0;
    std::uint64_t steps = 0;
    std::uint64_t starts = 0;
    std::uint64_t finals = 0;
    std::map<std::string, std::uint64_t> faults;
};

/** Runs a trace. @return steps until the oracle objected, or nothing. */
std::optional<std::size_t> run(const std::vector<Step> &steps, Mutation mutation, bool heal, Totals *totals, std::string *why)
{
    std::size_t done = 0;
    try {
        World world(mutation);
        for (const Step &step : steps) {
            apply(world, step);
            ++done;
        }
        if (heal) {
            world.heal();
        }
        if (totals != nullptr) {
            ++totals->runs;
            totals->steps += steps.size();
            totals->starts += world.oracle.starts();
            totals->finals += world.oracle.finals();
            for (const auto &[kind, count] : world.faults) {
                totals->faults[kind] += static_cast<std::uint64_t>(count);
            }
        }
    } catch (const InvariantError &error) {
        *why = error.what();
        return done;
    }
    return std::nullopt;
}

/** A trace that once broke an invariant, shrunk by RapidCheck. */
struct KnownTrace
{
    const char *name;
    std::vector<Step> steps;
};

const std::vector<KnownTrace> &knownTraces()
{
    static const std::vector<KnownTrace> traces = {
        {"two bodies under one id forwarded at once", {{Op(1), 4, 261, 1}, {Op(2), 376, 333, 0}}},
        {"another body under an id whose home died",
         {{Op(0), 0, 253, 0}, {Op(5), 5, 0, 0}, {Op(0), 10, 263, 0}, {Op(6), 46, 0, 0}, {Op(2), 0, 611, 266}}},
        {"an agent leaves while its record is asked for by the successor of a home that left",
         {{Op(19), 190, 0, 0}, {Op(0), 0, 277, 5}, {Op(5), 43, 0, 0}, {Op(20), 5, 0, 0}, {Op(5), 2, 0, 0}, {Op(0), 0, 133, 5}}},
        {"an agent reports its records and leaves before its results are asked for",
         {{Op(19), 190, 0, 0}, {Op(0), 0, 277, 5}, {Op(5), 43, 0, 0}, {Op(20), 5, 0, 0}, {Op(5), 11, 0, 0}, {Op(0), 0, 133, 5}}},
        {"an entry leaves and the new home of its ids is lost",
         {{Op(2), 641, 155, 0}, {Op(1), 0, 66, 1}, {Op(19), 281, 0, 0}, {Op(9), 8, 0, 0}, {Op(5), 311, 0, 0}, {Op(2), 0, 234, 0}}},
        {"an entry starts again and hears an older configuration before it has read the table",
         {{Op(6), 768, 847, 738},
          {Op(9), 29, 313, 982},
          {Op(21), 422, 909, 354},
          {Op(5), 934, 658, 540},
          {Op(19), 824, 667, 178},
          {Op(5), 569, 545, 533},
          {Op(8), 919, 455, 168}}},
    };
    return traces;
}

}

TEST_CASE("traces that once broke an invariant")
{
    for (const KnownTrace &trace : knownTraces()) {
        std::string why;
        const auto failed = run(trace.steps, Mutation::None, true, nullptr, &why);
        CHECK_MESSAGE(!failed, trace.name << ": " << why);
    }
}

TEST_CASE("a rebuilt job whose endpoints are silent is cancelled")
{
    for (int home = 0; home < ENTRY_COUNT; ++home) {
        const int other = (home + 1) % ENTRY_COUNT;
        std::vector<Step> steps;
        for (int id = 0; id < 12; ++id) {
            steps.push_back({Op::SubmitFast, other, id, 2});
        }
        steps.insert(steps.end(), {{Op::Advance, 199, 0, 1}, {Op::KillEntry, home, 1, 0}, {Op::Advance, 900, 0, 0}});
        for (int agent = 0; agent < AGENT_COUNT; ++agent) {
            steps.push_back({Op::PauseNode, ENTRY_COUNT + agent, 0, 0});
        }
        for (int id = 0; id < 12; ++id) {
            steps.push_back({Op::SubmitFast, other, id, 2});
        }
        steps.push_back({Op::Advance, 20, 0, 1});
        for (int id = 0; id < 12; ++id) {
            steps.push_back({Op::Cancel, other, id, 0});
        }
        std::string why;
        CHECK_MESSAGE(!run(steps, Mutation::None, true, nullptr, &why), why);
    }
}

TEST_CASE("every invariant holds under random faults")
{
    Totals totals;
    const bool held = rc::check("invariants", [&totals] {
        const auto steps = *rc::gen::container<std::vector<Step>>(genStep());
        std::string why;
        if (run(steps, Mutation::None, true, &totals, &why)) {
            RC_FAIL(why);
        }
    });
    std::cout << "fuzz: " << totals.runs << " runs, " << totals.steps << " steps, " << totals.starts << " starts, " << totals.finals
              << " final answers";
    for (const auto &[kind, count] : totals.faults) {
        std::cout << ", " << kind << " " << count;
    }
    std::cout << '\n';
    CHECK(held);
}

TEST_CASE("deliberately broken variants are caught")
{
    struct Variant
    {
        Mutation mutation;
        const char *name;
    };
    static constexpr Variant VARIANTS[] = {
        {Mutation::NoFence, "no fence"},
        {Mutation::ReusedIncarnation, "reused incarnation"},
        {Mutation::RefusalAfterGrant, "refusal after a grant"},
        {Mutation::RestartOnSilence, "restart on a silent connection"},
        {Mutation::OldConfigAfterRestart, "older configuration after a restart"},
        {Mutation::CrossedAnswer, "answer crossed"},
    };
    constexpr std::size_t MAX_RUNS = 3'000;
    constexpr int LENGTH = 120;
    for (const Variant &variant : VARIANTS) {
        std::size_t steps = 0;
        std::size_t runs = 0;
        bool caught = false;
        std::string why;
        for (; runs < MAX_RUNS && !caught; ++runs) {
            const auto trace = rc::gen::container<std::vector<Step>>(LENGTH, genStep())(rc::Random(runs + 1), rc::kNominalSize).value();
            const auto failed = run(trace, variant.mutation, false, nullptr, &why);
            caught = failed.has_value();
            std::string unmodified;
            // The trace must tell the variant from the real code.
            CHECK_MESSAGE((!caught || !run(trace, Mutation::None, false, nullptr, &unmodified)), unmodified);
            steps += failed.value_or(trace.size());
        }
        std::cout << "variant \"" << variant.name << "\": " << (caught ? "caught" : "missed") << " after " << runs << " runs, " << steps
                  << " steps: " << why << '\n';
        CHECK_MESSAGE(caught, variant.name);
    }
}
