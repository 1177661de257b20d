/** @file repeatable_job_recorder.h Recorders of messages, answers and log lines, for tests of single decisions. */

#pragma once

#include "core/time_type.h"
#include "repeatable/event_log.h"
#include "repeatable/repeatable_job_output.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace medlarmill::fake
{

inline constexpr Instant START_TIME{Millis(1'000'000)};
inline constexpr Incarnation AGENT{77};

/** Records messages, link resets and answers to callers. */
class OutputRecorder : public LinkOutput, public CallerOutput
{
public:
    void sendTo(Incarnation /*peer*/, repeat::Message message) override
    {
        sent.push_back(std::move(message));
    }
    void resetLink(Incarnation peer) override
    {
        resets.push_back(peer);
    }
    void answer(CallerToken caller, const JobOutcome &outcome) override
    {
        answers[caller] = outcome;
    }

    /** @return the run orders among the messages sent. */
    std::vector<repeat::RunOrder> orders() const
    {
        std::vector<repeat::RunOrder> found;
        for (const repeat::Message &message : sent) {
            if (message.has_run_order()) {
                found.push_back(message.run_order());
            }
        }
        return found;
    }

    std::vector<repeat::Message> sent;
    std::vector<Incarnation> resets;
    std::map<CallerToken, JobOutcome> answers;
};

class RecordingLog : public EventLog
{
public:
    void info(std::string_view line) override
    {
        lines.emplace_back(line);
    }
    void warn(std::string_view line) override
    {
        lines.emplace_back(line);
    }

    std::vector<std::string> lines;
};

}
