/** @file fencing_token.h Fencing token of an agent at its endpoint. */

#pragma once

#include <cstdint>

namespace medlarmill
{

/**
 * Fencing token with which an agent calls its endpoint, which refuses tokens below the highest one that it has seen and does not tell that
 * one. The token is the endpoint's start time plus its clock, in ms, at the time the agent takes over, so that a later agent process has a
 * higher one. The clock of a restarted endpoint may start anywhere and its start time follows the wall clock, so the sum can be lower than
 * the token of an earlier holder. Each refusal adds an offset, which doubles: the token exceeds the earlier one after a logarithmic number
 * of refusals, and a further agent process that is refused as often still gets a higher one from the clock.
 */
class FencingToken
{
public:
    static constexpr std::uint64_t MAX_VALUE = (std::uint64_t{1} << 53U) - 1; ///< JSON numbers are exact up to here.

    /** @return the token; it never decreases. */
    std::uint64_t value() const
    {
        return value_;
    }

    /** The agent takes over a process of the endpoint. @param startUnixMs its start time; 0 when unknown. @param clockMs its clock. */
    void beginProcess(std::uint64_t startUnixMs, std::uint64_t clockMs);

    /**
     * The endpoint refused a token.
     * @param refused the token of the refused call.
     * @param clockMs the endpoint's clock in the answer; 0 when unknown.
     * @return whether the token was raised; not when it had been raised since the call was made.
     */
    bool onRefused(std::uint64_t refused, std::uint64_t clockMs);

private:
    void raiseTo(std::uint64_t candidate);

    std::uint64_t value_ = 0;
    std::uint64_t startUnixMs_ = 0; ///< Start time of the endpoint's process; 0 when unknown.
    std::uint64_t clockMs_ = 0; ///< Newest known clock of that process.
    std::uint64_t offset_ = 0; ///< Added after refusals.
};

}
