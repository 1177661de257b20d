/** @file caller_document.cpp The callers' JSON documents. */

#include "http/caller_document.h"

#include "core/hash_func.h"
#include "core/reason_table.h"
#include "http/json_limits.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace medlarmill
{

namespace
{

using nlohmann::json;

constexpr int MAX_JSON_DEPTH = 64; ///< Deepest nesting of a body.
constexpr std::size_t MAX_JSON_BYTES = 64U << 20U; ///< The server's limit of a body is lower; this one bounds the parser.
constexpr std::size_t MAX_JSON_VALUES = 1'000'000; ///< A document takes up to 100 bytes for each.
constexpr std::uint32_t MS_PER_SECOND = 1'000;

/** HTTP status of an answer. */
struct StatusRow
{
    Reason reason; ///< Reason of the answer.
    unsigned status; ///< HTTP status.
};

constexpr StatusRow STATUS_TABLE[] = {
    {Reason::UnknownService, 404},
    {Reason::UnknownKind, 404},
    {Reason::NotFound, 404},
    {Reason::Conflict, 409},
    {Reason::TooLarge, 413},
    {Reason::Malformed, 400},
    {Reason::TeamQuota, 429},
    {Reason::CancelledBeforeStart, 410},
    {Reason::Cancelled, 410},
    {Reason::DeadlinePassed, 504},
    {Reason::DeadlineBeforeStart, 504},
    {Reason::TaskFailed, 502},
    {Reason::EndpointLost, 502},
    {Reason::RetryBudgetSpent, 502},
};

struct KindRow
{
    wire::AnswerKind kind; ///< Kind of answer.
    std::string_view name; ///< Its name in documents.
    unsigned status; ///< HTTP status unless the reason has its own.
};

constexpr KindRow KIND_TABLE[] = {
    {wire::ANSWER_COMPLETE, "complete", 200},       {wire::ANSWER_FAILED, "failed", 502},   {wire::ANSWER_REFUSED, "refused_not_run", 503},
    {wire::ANSWER_UNKNOWN, "outcome_unknown", 504}, {wire::ANSWER_INVALID, "invalid", 400}, {wire::ANSWER_PENDING, "pending", 202},
};

const KindRow &kindRow(wire::AnswerKind kind)
{
    const auto *row = std::ranges::find(KIND_TABLE, kind, &KindRow::kind);
    return row == std::end(KIND_TABLE) ? KIND_TABLE[3] : *row;
}

json parseBounded(std::string_view text)
{
    const auto bound = [](int depth, json::parse_event_t, json &) {
        if (depth > MAX_JSON_DEPTH) {
            throw json::other_error::create(500, "nested too deeply", nullptr);
        }
        return true;
    };
    try {
        return json::parse(text, bound, false);
    } catch (const json::exception &) {
        return json(json::value_t::discarded);
    }
}

absl::Status wrong(std::string message)
{
    return absl::InvalidArgumentError(message);
}

absl::Status readText(const json &object, const char *key, std::size_t longest, std::string *target)
{
    const auto found = object.find(key);
    if (found == object.end()) {
        return absl::OkStatus();
    }
    if (!found->is_string() || found->get_ref<const std::string &>().size() > longest) {
        return wrong(fmt::format("/{}: must be a string of at most {} bytes", key, longest));
    }
    *target = found->get<std::string>();
    return absl::OkStatus();
}

absl::Status readMillis(const json &object, const std::string &path, const char *key, std::uint64_t *target)
{
    const auto found = object.find(key);
    if (found == object.end()) {
        return absl::OkStatus();
    }
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() == 0 || found->get<std::uint64_t>() > MAX_DEADLINE_MS) {
        return wrong(fmt::format("{}/{}: must be a whole number of milliseconds from 1 to {}", path, key, MAX_DEADLINE_MS));
    }
    *target = found->get<std::uint64_t>();
    return absl::OkStatus();
}

absl::Status readTask(const json &value, const std::string &path, wire::Job &job)
{
    if (!value.is_object() || !value.contains("payload")) {
        return wrong(path + ": must be an object with a payload");
    }
    for (const auto &[key, unused] : value.items()) {
        if (key != "payload" && key != "declared_ms") {
            return wrong(fmt::format("{}/{}: unknown key; use payload and declared_ms", path, key));
        }
    }
    std::uint64_t declared = 0;
    const absl::Status status = readMillis(value, path, "declared_ms", &declared);
    if (!status.ok()) {
        return status;
    }
    wire::TaskSpec *spec = job.add_tasks();
    spec->set_payload(value["payload"].dump(-1, ' ', false, json::error_handler_t::replace));
    spec->set_declared_ms(static_cast<std::uint32_t>(declared));
    if (spec->payload().size() > MAX_TASK_PAYLOAD_BYTES) {
        return absl::OutOfRangeError(fmt::format("{}/payload: has more than {} bytes", path, MAX_TASK_PAYLOAD_BYTES));
    }
    return absl::OkStatus();
}

absl::Status readTasks(const json &document, wire::Job &job)
{
    const bool single = document.contains("payload");
    if (single == document.contains("tasks")) {
        return wrong("must have either payload, for a single request, or tasks, for a job");
    }
    if (single) {
        json task = {{"payload", document["payload"]}};
        if (document.contains("declared_ms")) {
            task["declared_ms"] = document["declared_ms"];
        }
        return readTask(task, "", job);
    }
    const json &tasks = document["tasks"];
    if (!tasks.is_array() || tasks.empty() || tasks.size() > MAX_JOB_TASKS) {
        return wrong(fmt::format("/tasks: must be an array of 1 to {} tasks", MAX_JOB_TASKS));
    }
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        const absl::Status status = readTask(tasks[index], fmt::format("/tasks/{}", index), job);
        if (!status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

absl::Status checkKeys(const json &document)
{
    static constexpr std::string_view KNOWN[] = {"id", "kind", "team", "deadline_ms", "idempotent", "payload", "declared_ms", "tasks"};
    for (const auto &[key, unused] : document.items()) {
        if (std::ranges::find(KNOWN, std::string_view(key)) == std::end(KNOWN)) {
            return wrong(fmt::format("/{}: unknown key; use id, kind, team, deadline_ms, idempotent, payload, declared_ms or tasks", key));
        }
    }
    return absl::OkStatus();
}

absl::Status readHead(const json &document, wire::Job &job)
{
    absl::Status status = checkKeys(document);
    status.Update(readText(document, "id", MAX_SUBMISSION_ID_BYTES, job.mutable_submission_id()));
    status.Update(readText(document, "kind", MAX_SUBMISSION_ID_BYTES, job.mutable_kind()));
    status.Update(readText(document, "team", MAX_SUBMISSION_ID_BYTES, job.mutable_team()));
    std::uint64_t deadline = 0;
    status.Update(readMillis(document, "", "deadline_ms", &deadline));
    job.set_deadline_ms(static_cast<std::uint32_t>(deadline));
    if (!status.ok()) {
        return status;
    }
    if (document.contains("id") && !isValidSubmissionId(job.submission_id())) {
        return wrong(fmt::format("/id: must have 1 to {} letters, digits or one of - _ . :", MAX_SUBMISSION_ID_BYTES));
    }
    if (job.kind().empty()) {
        return wrong("/kind: is missing: name a request kind of the service");
    }
    if (document.contains("idempotent") && !document["idempotent"].is_boolean()) {
        return wrong("/idempotent: must be true or false");
    }
    job.set_idempotent(document.value("idempotent", false));
    return absl::OkStatus();
}

}

absl::StatusOr<wire::Job> readSubmission(std::string_view service, std::string_view text)
{
    if (const absl::Status limits = checkJson(text, {MAX_JSON_BYTES, MAX_JSON_VALUES, MAX_JSON_DEPTH});
        limits.code() == absl::StatusCode::kResourceExhausted) {
        return wrong(fmt::format("{}: send a smaller document", std::string(limits.message())));
    }
    const json document = parseBounded(text);
    if (!document.is_object()) {
        return wrong(fmt::format("the body must be a JSON object, nested at most {} deep", MAX_JSON_DEPTH));
    }
    wire::Job job;
    job.set_service(std::string(service));
    absl::Status status = readHead(document, job);
    if (status.ok()) {
        status = readTasks(document, job);
    }
    if (!status.ok()) {
        return status;
    }
    return job;
}

HttpResponse answerResponse(const wire::Answer &answer)
{
    const KindRow &kind = kindRow(answer.kind());
    const auto reason = static_cast<Reason>(answer.reason());
    json document = {{"id", answer.submission_id()}, {"kind", kind.name}};
    unsigned status = kind.status;
    if (answer.kind() == wire::ANSWER_COMPLETE) {
        json &results = document["results"] = json::array();
        for (const std::string &result : answer.results()) {
            json value = parseBounded(result);
            results.push_back(value.is_discarded() ? json(result) : std::move(value));
        }
    } else if (reason != Reason::None) {
        const ReasonInfo &info = reasonInfo(reason);
        document["reason"] = info.code;
        document["remedy"] = info.remedy;
        const auto *row = std::ranges::find(STATUS_TABLE, reason, &StatusRow::reason);
        status = row == std::end(STATUS_TABLE) || answer.kind() == wire::ANSWER_UNKNOWN ? status : row->status;
    }
    if (!answer.detail().empty()) {
        document["detail"] = answer.detail();
    }
    if (answer.retry_after_ms() != 0) {
        document["retry_after_ms"] = answer.retry_after_ms();
    }
    HttpResponse response = jsonResponse(status, document.dump(-1, ' ', false, json::error_handler_t::replace));
    if (answer.retry_after_ms() != 0) {
        response.set(boost::beast::http::field::retry_after, std::to_string((answer.retry_after_ms() + MS_PER_SECOND - 1) / MS_PER_SECOND));
    }
    return response;
}

HttpResponse invalidResponse(Reason reason, std::string_view detail)
{
    wire::Answer answer;
    answer.set_kind(wire::ANSWER_INVALID);
    answer.set_reason(static_cast<std::uint32_t>(reason));
    answer.set_detail(std::string(detail));
    return answerResponse(answer);
}

}
