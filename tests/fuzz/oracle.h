/** @file oracle.h The invariants, and nothing else: starts, answers, refusals, drains, configuration versions. */

#pragma once

#include "core/ids_type.h"
#include "core/time_type.h"
#include "wire/generated/medlarmill.pb.h"

#include <fmt/format.h>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace medlarmill::test
{

/** An invariant does not hold. */
struct InvariantError : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/** Knows every start and every answer, from the beginning to the end of a run. */
class Oracle
{
public:
    /** @return the result that a task must have. @param id the submission. @param index the task. @param body which of several bodies was
     * submitted. */
    static std::string resultOf(const std::string &id, std::uint32_t index, const std::string &body)
    {
        return fmt::format("{}/{}/{}", id, index, body);
    }

    /** A body was submitted under an id. */
    void onSubmit(const std::string &id, std::uint32_t tasks, const std::string &body)
    {
        bodies_[id].insert({tasks, body});
    }

    /** An endpoint started a task. @param leftAt when the endpoint said that it leaves, NEVER when it did not. */
    void onStart(const std::string &id, std::uint32_t index, Instant now, Instant leftAt)
    {
        if (++starts_[{id, index}] > 1) {
            throw InvariantError(fmt::format("task {} of {} was started twice", index, id));
        }
        if (refused_.contains(id)) {
            throw InvariantError(fmt::format("{} was refused as not run and started afterwards", id));
        }
        if (leftAt != NEVER && now > leftAt + LEAVING_BOUND) {
            throw InvariantError(fmt::format("task {} of {} was started on a leaving endpoint", index, id));
        }
    }

    /** A caller got an answer. @param body what it submitted; empty when it only asked. */
    void onAnswer(const std::string &expectedId, const std::string &body, const wire::Answer &answer)
    {
        const std::string &id = answer.submission_id();
        if (!expectedId.empty() && id != expectedId) {
            throw InvariantError(fmt::format("the caller of {} got the answer of {}", expectedId, id));
        }
        switch (answer.kind()) {
        case wire::ANSWER_COMPLETE:
            checkComplete(id, body, answer);
            break;
        case wire::ANSWER_REFUSED:
            checkRefused(id);
            break;
        case wire::ANSWER_FAILED:
            break;
        default:
            return; // Unknown, pending and invalid promise nothing.
        }
        if (id.empty()) {
            return; // Requests without an id that were refused at the door have nothing to do with each other.
        }
        const std::string text = answer.SerializeAsString();
        const auto [first, isFirst] = finals_.emplace(id, text);
        if (!isFirst && first->second != text) {
            wire::Answer earlier;
            earlier.ParseFromString(first->second);
            throw InvariantError(fmt::format("{} got two different final answers: kind {} reason {} ({}), then kind {} reason {} ({})", id,
                                             static_cast<int>(earlier.kind()), earlier.reason(), earlier.detail(),
                                             static_cast<int>(answer.kind()), answer.reason(), answer.detail()));
        }
    }

    /** A process has a configuration in force. @param process its name, the same over restarts. */
    void onConfig(const std::string &process, std::uint64_t version)
    {
        if (version == 0) {
            return; // It does not know a configuration yet, and is not ready.
        }
        std::uint64_t &newest = configs_[process];
        if (version < newest) {
            throw InvariantError(fmt::format("the configuration of {} went from {} back to {}", process, newest, version));
        }
        newest = version;
    }

    /** @return number of starts. */
    std::size_t starts() const
    {
        return starts_.size();
    }

    /** @return number of submissions with a final answer. */
    std::size_t finals() const
    {
        return finals_.size();
    }

private:
    static constexpr Duration LEAVING_BOUND = Millis(3'000); ///< "No new work after a few seconds."

    void checkComplete(const std::string &id, const std::string &body, const wire::Answer &answer)
    {
        for (const auto &[tasks, known] : bodies_[id]) {
            if (!body.empty() && body != known) {
                continue;
            }
            bool matches = static_cast<std::uint32_t>(answer.results_size()) == tasks;
            for (std::uint32_t index = 0; matches && index < tasks; ++index) {
                matches = answer.results(static_cast<int>(index)) == resultOf(id, index, known) && starts_.contains({id, index});
            }
            if (matches) {
                return;
            }
        }
        std::string results;
        for (const std::string &result : answer.results()) {
            results += fmt::format(" \"{}\"", result);
        }
        throw InvariantError(fmt::format("the answer of {} to {} is not whole, or another request's:{}", id, body, results));
    }

    void checkRefused(const std::string &id)
    {
        if (id.empty()) {
            return; // A request without an id that was refused at the door.
        }
        refused_.insert(id);
        const auto start = starts_.lower_bound({id, 0});
        if (start != starts_.end() && start->first.first == id) {
            throw InvariantError(fmt::format("{} was refused as not run, but it was started", id));
        }
    }

    std::map<std::pair<std::string, std::uint32_t>, int> starts_;
    std::map<std::string, std::set<std::pair<std::uint32_t, std::string>>> bodies_;
    std::map<std::string, std::string> finals_;
    std::set<std::string> refused_;
    std::map<std::string, std::uint64_t> configs_;
};

}
