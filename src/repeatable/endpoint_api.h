/** @file endpoint_api.h Interface for the calls of an agent to its local endpoint. */

#pragma once

#include "repeatable/repeatable_job_type.h"

#include <functional>
#include <string>
#include <vector>

namespace medlarmill
{

/** How a call to an endpoint ended. */
enum class EndpointCallStatus : std::uint8_t {
    Accepted, ///< Carried out; a start is also accepted when the run exists already.
    NoRoom, ///< Refused: not enough free resources; nothing was done.
    DeadlinePassed, ///< Refused: the `leaseExpiryMs` of the call has passed, because the call was delayed; nothing was done.
    OldAttempt, ///< Refused: the same or a higher attempt has already ended or been stopped; nothing was done.
    Fenced, ///< Refused: another agent has used a higher fencing token; nothing was done.
    Unhealthy, ///< Refused: the endpoint is unhealthy; nothing was done.
    Malformed, ///< Refused: malformed call; nothing was done.
    OtherProcess, ///< The process at the address is not the one that `expectedStartMs` names; nothing was sent to it.
    OtherIncarnation, ///< A process with another instance id answered at this address; nothing was done.
    ConnectionRefused, ///< The connection was refused: the call was not sent. No evidence that the process has ended.
    NoAnswer, ///< No answer in time; the call may have been carried out, or may still be carried out seconds later.
};

/** Parameters common to all calls. */
struct EndpointCall
{
    std::string address; ///< Address of the endpoint, `IP:port`.
    std::string endpointId; ///< Instance id of the intended endpoint.
    std::uint64_t fencingToken = 0; ///< See FencingToken; calls with a lower one are refused.
    std::uint64_t leaseExpiryMs = 0; ///< When the lease of all runs at the endpoint expires, on its clock; 0 leaves the lease unchanged.
    Duration timeout{0}; ///< Time limit for the answer.
    std::uint64_t expectedStartMs = 0; ///< For a start: the process that it is for, by its start time in Unix ms; 0 is not checked.
};

/** Result of a call. */
struct EndpointAnswer
{
    EndpointCallStatus status = EndpointCallStatus::NoAnswer; ///< How the call ended.
    std::uint64_t clockMs = 0; ///< The endpoint's clock; 0 when unknown.
    Instant at; ///< When the answer arrived or the call timed out.
};

/** Result of polling an endpoint. */
struct EndpointPollResult
{
    EndpointAnswer answer; ///< How the call ended; the lists are valid only if it was accepted.
    std::uint64_t startUnixMs = 0; ///< Start time of the incarnation; 0 when unknown.
    std::vector<ActiveRun> active; ///< Active runs.
    std::vector<FinishedRun> finished; ///< Finished runs that are not acknowledged yet.
};

/** Asynchronous calls to one endpoint. Each call returns at once; its result arrives later on the same thread. */
class EndpointApi
{
public:
    virtual ~EndpointApi() = default;

    /** Starts a run. @param call the call. @param run the run. @param spec its input. @param done receives the result. */
    virtual void start(const EndpointCall &call, const RunName &run, const std::string &spec, std::function<void(EndpointAnswer)> done) = 0;

    /** Stops a run; if it has not started yet, its start will be refused. @param call the call. @param run the run. @param done receives
     * the result. */
    virtual void stop(const EndpointCall &call, const RunName &run, std::function<void(EndpointAnswer)> done) = 0;

    /** Extends the lease, acknowledges finished runs and lists the runs. @param call the call. @param acknowledged finished runs up to
     * this sequence number are not listed again. @param wait how long the answer may be delayed until a run finishes. @param done receives
     * the result. */
    virtual void poll(const EndpointCall &call, std::uint64_t acknowledged, Millis wait, std::function<void(EndpointPollResult)> done) = 0;
};

}
