/** @file job_func.h Functions on jobs and answers. */

#pragma once

#include "core/ids_type.h"
#include "core/reason_type.h"
#include "wire/generated/medlarmill.pb.h"

#include <string>

namespace medlarmill
{

/** Hashes the parts of a job body that must be equal in a resubmission: service, kind, team and payloads. @return the digest, never 0. */
std::uint64_t digestOf(const wire::Job &body);

/** Creates an answer without results. @param detail additional text for the caller. */
wire::Answer makeAnswer(const SubmissionId &id, wire::AnswerKind kind, Reason reason, std::string detail = {});

}
