/** @file job_func.cpp Functions on jobs and answers. */

#include "entry_logic/job_func.h"

#include "core/hash_func.h"

namespace medlarmill
{

std::uint64_t digestOf(const wire::Job &body)
{
    std::uint64_t digest = stableHash(body.service());
    digest = stableHash(body.kind(), digest);
    digest = stableHash(body.team(), digest);
    for (const wire::TaskSpec &task : body.tasks()) {
        digest = stableHash(task.payload(), digest + 1);
    }
    return digest == 0 ? 1 : digest;
}

wire::Answer makeAnswer(const SubmissionId &id, wire::AnswerKind kind, Reason reason, std::string detail)
{
    wire::Answer answer;
    answer.set_submission_id(id);
    answer.set_kind(kind);
    answer.set_reason(static_cast<std::uint32_t>(reason));
    answer.set_detail(std::move(detail));
    return answer;
}

}
