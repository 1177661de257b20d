/** @file delayed_endpoint_api.h Calls to a simulated endpoint that a test delivers. */

#pragma once

#include "fake_endpoint.h"

#include <functional>
#include <utility>
#include <vector>

namespace medlarmill::fake
{

/** Calls that arrive at a simulated endpoint when the test says so. */
class DelayedEndpointApi : public EndpointApi
{
public:
    void start(const EndpointCall &call, const RunName &run, const std::string & /*spec*/,
               std::function<void(EndpointAnswer)> done) override
    {
        pending_.emplace_back([this, call, run, done](Instant now) {
            done(endpoint.start(call, run, Millis(100), false, {3'000, 64, 0}, now));
        });
    }
    void stop(const EndpointCall &call, const RunName &run, std::function<void(EndpointAnswer)> done) override
    {
        pending_.emplace_back([this, call, run, done](Instant now) {
            done(endpoint.stop(call, run, now));
        });
    }
    void poll(const EndpointCall &call, std::uint64_t acknowledged, Millis /*wait*/, std::function<void(EndpointPollResult)> done) override
    {
        pending_.emplace_back([this, call, acknowledged, done](Instant now) {
            done(endpoint.poll(call, acknowledged, now));
        });
    }

    void deliver(Instant now)
    {
        for (const auto &call : std::exchange(pending_, {})) {
            call(now);
        }
    }

    fake::Oracle oracle;
    FakeEndpoint endpoint{1, oracle};

private:
    std::vector<std::function<void(Instant)>> pending_;
};

}
