/** @file endpoint_api.h Calls of an agent to the endpoint beside it, as the decision code sees them. */

#pragma once

#include "repeatable/repeatable_job_type.h"

#include <functional>
#include <string>
#include <vector>

namespace medlarmill
{

/** How a call to an endpoint ended. */
enum class EndpointCallStatus : std::uint8_t {
    Accepted, ///< Done; a start is also accepted when the run is already there.
    NoRoom, ///< Refused for want of room; nothing was done.
    DeadlinePassed, ///< Refused: the deadline of the call has passed; nothing was done.
    OldAttempt, ///< Refused: the same or a higher attempt has ended there; nothing was done.
    Fenced, ///< Refused: another agent has used a higher fencing token; nothing was done.
    Unhealthy, ///< Refused by an unhealthy endpoint; nothing was done.
    Malformed, ///< Refused as malformed; nothing was done.
    OtherIncarnation, ///< Another incarnation answers at this address.
    ConnectionRefused, ///< Nothing listens at the address.
    NoAnswer, ///< The call may have been carried out, or may be seconds later.
};

/** Common part of all calls. */
struct EndpointCall
{
    std::string address; ///< Where, `number:port`.
    std::string endpointId; ///< Incarnation that is meant.
    std::uint64_t fencingToken = 0; ///< Grows with every life of the agent.
    std::uint64_t leaseExpiryMs = 0; ///< Lease on the endpoint's clock for everything that runs there; 0 leaves it as it is.
    Duration timeout{0}; ///< Time for the answer.
};

/** Result of a call. */
struct EndpointAnswer
{
    EndpointCallStatus status = EndpointCallStatus::NoAnswer; ///< How it ended.
    std::uint64_t clockMs = 0; ///< The endpoint's clock; 0 when unknown.
    Instant at; ///< When the answer came or the time was up.
};

/** What an endpoint lists when it is looked at. */
struct EndpointPollResult
{
    EndpointAnswer answer; ///< How the call ended; the lists are valid when it was accepted.
    std::uint64_t startUnixMs = 0; ///< Start of the incarnation; 0 when not told.
    std::vector<ActiveRun> active; ///< Runs that are there.
    std::vector<FinishedRun> finished; ///< Ends that are not acknowledged yet.
};

/** Talks to one endpoint. All calls return at once; results come later on the same thread. */
class EndpointApi
{
public:
    virtual ~EndpointApi() = default;

    /** Starts a run. @param call the call. @param run the run. @param spec its input. @param done gets the result. */
    virtual void start(const EndpointCall &call, const RunName &run, const std::string &spec, std::function<void(EndpointAnswer)> done) = 0;

    /** Stops a run; one that is not there yet is refused from then on. @param call the call. @param run the run. @param done gets the
     * result. */
    virtual void stop(const EndpointCall &call, const RunName &run, std::function<void(EndpointAnswer)> done) = 0;

    /** Extends the lease, acknowledges ends and lists what is there. @param call the call. @param acknowledged ends up to this number are
     * forgotten. @param wait how long the endpoint may wait for an end. @param done gets the result. */
    virtual void poll(const EndpointCall &call, std::uint64_t acknowledged, Millis wait, std::function<void(EndpointPollResult)> done) = 0;
};

}
