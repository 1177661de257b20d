/** @file reason_table.cpp The reason table. */

#include "core/reason_table.h"

#include <algorithm>

namespace medlarmill
{

namespace
{

constexpr ReasonInfo REASONS[] = {
    {Reason::None, "none", ""},
    {Reason::UnknownService, "unknown_service", "check the service name or submit a configuration that contains it"},
    {Reason::UnknownKind, "unknown_kind", "use a request kind of the service's configuration"},
    {Reason::QueueFull, "queue_full", "submit again under a new id after retry_after_ms"},
    {Reason::DeadlineUnreachable, "deadline_unreachable", "submit again under a new id after retry_after_ms or with a longer deadline"},
    {Reason::JobTableFull, "job_table_full", "submit again under a new id after retry_after_ms"},
    {Reason::NotReady, "not_ready", "submit to another entry; see /readyz for what is missing"},
    {Reason::Draining, "draining", "submit to another entry under a new id"},
    {Reason::CancelledBeforeStart, "cancelled_before_start", "submit again under a new id when the work is still wanted"},
    {Reason::DeadlineBeforeStart, "deadline_before_start", "submit again under a new id with a longer deadline"},
    {Reason::TeamQuota, "team_quota", "wait for the team's own work to finish or raise the team's quota"},
    {Reason::RingFull, "ring_full", "submit again under a new id after a short pause"},
    {Reason::TaskFailed, "task_failed", "read detail; submit again under a new id when the cause is mended"},
    {Reason::EndpointLost, "endpoint_lost", "the task may have run: check its effect before submitting under a new id"},
    {Reason::DeadlinePassed, "deadline_passed", "a task may have run: check its effect before submitting under a new id"},
    {Reason::Cancelled, "cancelled", "a task may have run: check its effect before submitting under a new id"},
    {Reason::RetryBudgetSpent, "retry_budget_spent", "check the endpoints of the service, then submit under a new id"},
    {Reason::EndpointsFailing, "endpoints_failing", "check the endpoints of the service, then submit again"},
    {Reason::CallerGone, "caller_gone", "none: nobody waits for the answer"},
    {Reason::HomeUnreachable, "home_unreachable", "fetch or submit the same id again later"},
    {Reason::TakeoverIncomplete, "takeover_incomplete",
     "fetch or submit the same id again later; an id minted by an entry is free of this"},
    {Reason::Expired, "expired", "the answer is no longer kept: check the effect before submitting under a new id"},
    {Reason::WitnessMissing, "witness_missing", "fetch the same id again later"},
    {Reason::Conflict, "conflict", "use a new id for a different request"},
    {Reason::NotFound, "not_found", "check the id; answers are kept for the retention window only"},
    {Reason::Malformed, "malformed", "correct the request as the detail says"},
    {Reason::TooLarge, "too_large", "stay below the limit that the detail names"},
    {Reason::Fenced, "fenced", "none: the home was replaced"},
    {Reason::StaleLease, "stale_lease", "none: the task is granted again"},
    {Reason::NotAdmitted, "not_admitted", "check that the agent reaches every entry of the roster"},
    {Reason::Leaving, "leaving", "none: the task is granted elsewhere"},
    {Reason::Busy, "busy", "none: the task is granted elsewhere"},
    {Reason::RecordsFull, "records_full", "raise the agent's record limit or shorten the retention window"},
    {Reason::NeverSeen, "never_seen", "none: the task is granted again"},
    {Reason::EndpointAbsent, "endpoint_absent", "check the endpoint process beside the agent"},
    {Reason::DuplicateStart, "duplicate_start", "none: the first start counts"},
    {Reason::NoRoom, "no_room", "none: the task is ordered again"},
    {Reason::EndpointUnhealthy, "endpoint_unhealthy", "check the endpoint beside the agent"},
    {Reason::TimeUp, "time_up", "none: the caller does not wait any longer"},
    {Reason::StoppedByOrder, "stopped_by_order", "none: the entry cancelled the run"},
    {Reason::LeaseLapsed, "lease_lapsed", "check whether the agent was paused"},
    {Reason::EndpointRestarted, "endpoint_restarted", "check why the endpoint ended"},
    {Reason::NoAnswer, "no_answer", "check the endpoint beside the agent"},
    {Reason::AgentLost, "agent_lost", "check the agent's machine and the network"},
    {Reason::Stalled, "stalled", "check the endpoint beside the agent"},
    {Reason::OldAttempt, "old_attempt", "none: the task is ordered again with a higher attempt"},
    {Reason::UnsupportedJob, "unsupported_job", "submit a repeatable job without the property that the log names"},
    {Reason::EndpointCrashed, "endpoint_crashed", "check why the endpoint ended; suspect=1 marks the runs that it had started last"},
    {Reason::CrashesEndpoints, "crashes_endpoints", "do not submit it again: correct the task, endpoints crash when they start it"},
    {Reason::Evacuated, "evacuated", "none: the task is ordered in another availability zone"},
    {Reason::AnswerUseless, "answer_useless", "submit again after retry_after_ms"},
    {Reason::NoMemory, "no_memory", "submit again after retry_after_ms; raise the memory of the host"},
};

}

std::span<const ReasonInfo> reasonTable()
{
    return REASONS;
}

const ReasonInfo &reasonInfo(Reason reason)
{
    const auto *row = std::ranges::find(REASONS, reason, &ReasonInfo::reason);
    return row == std::end(REASONS) ? REASONS[0] : *row;
}

}
