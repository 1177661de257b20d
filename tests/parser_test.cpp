/** @file parser_test.cpp Random and mutated input for every parser: no crash, a typed error, and valid input is taken. */

#include "config/config_func.h"
#include "core/hash_func.h"
#include "http/caller_document.h"
#include "table/roster_document.h"
#include "wire/generated/medlarmill.pb.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace medlarmill;

namespace
{

constexpr char BODY[]
    = R"({"id":"a-1","kind":"reservation","deadline_ms":500,"idempotent":true,"tasks":[{"payload":{"x":[1,2]},"declared_ms":7}]})";
constexpr char CONFIG[]
    = R"({"teams":{"t":{"weight":2,"max_waiting":5}},"services":{"s":{"team":"t","queue_limit":9,"kinds":{"k":{"deadline_ms":5,"idempotent":true}}}}})";
constexpr char ROSTER[]
    = R"({"version":3,"members":[{"name":"e","incarnation":7,"address":"127.0.0.1:1","zone":"z","leaving":false}],"removed":[]})";

/** Changes, removes or doubles some bytes of a text. */
std::string mutate(std::string text)
{
    const int changes = *rc::gen::inRange(1, 8);
    for (int change = 0; change < changes && !text.empty(); ++change) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.erase(at, 1 + *rc::gen::inRange<std::size_t>(0, 10));
            break;
        default:
            text.insert(at, text.substr(at / 2, 10));
            break;
        }
    }
    return text;
}

std::string anyInput(const std::string &valid)
{
    return *rc::gen::inRange(0, 4) == 0 ? *rc::gen::arbitrary<std::string>() : mutate(valid);
}

}

TEST_CASE("callers' bodies")
{
    const auto valid = readSubmission("s", BODY);
    REQUIRE(valid.ok());
    CHECK(valid->tasks_size() == 1);
    CHECK(valid->tasks(0).payload() == R"({"x":[1,2]})");
    CHECK(!readSubmission("s", R"({"kind":"k","payload":1,"unknown":2})").ok());
    CHECK(!readSubmission("s", R"({"kind":"k"})").ok());
    CHECK(!readSubmission("s", R"({"kind":"k","payload":1,"id":"has blank"})").ok());
    CHECK(!readSubmission("s", R"({"kind":"k","payload":1,"deadline_ms":0})").ok());
    CHECK(!readSubmission("s", std::string(100'000, '[')).ok());
    CHECK(rc::check("callers' bodies", [] {
        const auto job = readSubmission("s", anyInput(BODY));
        const bool isTyped = job.ok() ? job->tasks_size() >= 1 && !job->kind().empty() : !job.status().message().empty();
        RC_ASSERT(isTyped);
    }));
}

TEST_CASE("configuration documents")
{
    CHECK(checkConfig(CONFIG).errors.empty());
    const ConfigCheck wrong
        = checkConfig(R"({"teams":{"t":{"weight":0,"x":1}},"services":{"s":{"team":"u","kinds":{},"queue_limit":"a"}}})");
    CHECK(wrong.errors.size() == 5); // All at once: weight, x, kinds, queue_limit, team.
    CHECK(rc::check("configuration documents", [] {
        for (const ConfigError &error : checkConfig(anyInput(CONFIG)).errors) {
            RC_ASSERT(!error.message.empty());
        }
    }));
}

TEST_CASE("roster rows")
{
    REQUIRE(rosterFromJson(ROSTER).ok());
    CHECK(rosterToJson(*rosterFromJson(ROSTER)) == rosterToJson(*rosterFromJson(rosterToJson(*rosterFromJson(ROSTER)))));
    CHECK(rc::check("roster rows", [] {
        const auto roster = rosterFromJson(anyInput(ROSTER));
        const bool isTyped = roster.ok() || !roster.status().message().empty();
        RC_ASSERT(isTyped);
    }));
}

TEST_CASE("frames")
{
    wire::Frame frame;
    frame.set_protocol(1);
    frame.set_sequence(2);
    frame.add_messages()->mutable_grant()->set_submission_id("id");
    const std::string bytes = frame.SerializeAsString();
    CHECK(rc::check("frames", [&bytes] {
        wire::Frame parsed;
        const std::string input = anyInput(bytes);
        if (parsed.ParseFromString(input)) {
            RC_ASSERT(parsed.messages_size() >= 0);
        }
    }));
}

TEST_CASE("submission ids")
{
    const SubmissionId id = mintSubmissionId(toIncarnation(0xabc), 7);
    CHECK(isValidSubmissionId(id));
    CHECK(mintedHome(id) == toIncarnation(0xabc));
    CHECK(mintedHome("order-17") == INVALID_INCARNATION);
    CHECK(rc::check("submission ids", [] {
        const std::string text = *rc::gen::arbitrary<std::string>();
        const bool isBounded = !isValidSubmissionId(text) || text.size() <= MAX_SUBMISSION_ID_BYTES;
        RC_ASSERT(isBounded);
    }));
}

TEST_CASE("answers have the documented statuses")
{
    const auto status = [](wire::AnswerKind kind, Reason reason) {
        wire::Answer answer;
        answer.set_kind(kind);
        answer.set_reason(static_cast<std::uint32_t>(reason));
        return answerResponse(answer).result_int();
    };
    CHECK(status(wire::ANSWER_COMPLETE, Reason::None) == 200);
    CHECK(status(wire::ANSWER_PENDING, Reason::None) == 202);
    CHECK(status(wire::ANSWER_FAILED, Reason::EndpointLost) == 502);
    CHECK(status(wire::ANSWER_FAILED, Reason::DeadlinePassed) == 504);
    CHECK(status(wire::ANSWER_REFUSED, Reason::QueueFull) == 503);
    CHECK(status(wire::ANSWER_REFUSED, Reason::TeamQuota) == 429);
    CHECK(status(wire::ANSWER_UNKNOWN, Reason::TakeoverIncomplete) == 504);
    CHECK(status(wire::ANSWER_INVALID, Reason::Conflict) == 409);
    CHECK(status(wire::ANSWER_INVALID, Reason::UnknownService) == 404);
}
