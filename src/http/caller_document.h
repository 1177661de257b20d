/** @file caller_document.h The callers' JSON documents. */

#pragma once

#include "core/reason_type.h"
#include "http/server.h"
#include "wire/generated/medlarmill.pb.h"

#include <absl/status/statusor.h>
#include <string_view>

namespace medlarmill
{

constexpr int MAX_JOB_TASKS = 1'000; ///< Most tasks of a job.
constexpr std::size_t MAX_TASK_PAYLOAD_BYTES = 256U << 10U; ///< Largest input of a task.
constexpr std::uint64_t MAX_DEADLINE_MS = 300'000; ///< Longest deadline.

/** Reads the body of a submission. @param service the service of the path. @param text the body. @return the job, or what is wrong. */
absl::StatusOr<wire::Job> readSubmission(std::string_view service, std::string_view text);

/** Writes an answer. @param answer the answer. @return the response with the matching HTTP status. */
HttpResponse answerResponse(const wire::Answer &answer);

/** Writes an answer that says that the request is wrong. @param reason why. @param detail what exactly. @return the response. */
HttpResponse invalidResponse(Reason reason, std::string_view detail);

}
