/** @file job_func.h Free functions on jobs and answers. */

#pragma once

#include "core/ids_type.h"
#include "core/reason_type.h"
#include "wire/generated/medlarmill.pb.h"

#include <string>

namespace medlarmill
{

/** Hash of everything in a body that must be equal in a resubmission. @param body the body. @return the hash, never 0. */
std::uint64_t digestOf(const wire::Job &body);

/** Makes an answer without results. @param id the submission. @param kind the kind. @param reason why. @param detail more about it. @return
 * the answer. */
wire::Answer makeAnswer(const SubmissionId &id, wire::AnswerKind kind, Reason reason, std::string detail = {});

}
