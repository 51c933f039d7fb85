#pragma once

#include "redwingseam/manifest/Route.h"

namespace redwingseam::forward {

// Decides whether a draining node still admits a request, so that its response ends before the process is killed.
class DrainRule {
public:
    // `grace`: time from the start of the drain until the requests that are still running are abandoned.
    explicit DrainRule(base::Duration grace)
        : m_grace(grace)
    {
    }

    // Returns until when after the start of the drain a request may be sent to an upstream. `expectedStreamDuration`:
    // current estimate of the time from sending a stream's request to its end.
    base::Duration latestStart(const manifest::Route& route, base::Duration expectedStreamDuration) const
    {
        auto expectedDuration = route.kind == manifest::RouteKind::Stream ? expectedStreamDuration : expectedResponseDuration(route);
        return m_grace - std::min(expectedDuration, route.timeout);
    }

private:
    static constexpr base::Duration minExpectedDuration = std::chrono::milliseconds(1000);

    // Returns the expected duration of a response that is not a stream.
    base::Duration expectedResponseDuration(const manifest::Route& route) const
    {
        auto expected = std::max(minExpectedDuration, route.latencyObjective);
        if (route.kind != manifest::RouteKind::NonIdempotent)
            return expected;
        // If it were cut off, the client could not send it again. In the first half of the grace the load balancer still
        // sends requests here.
        return std::max(expected, std::min(route.timeout, m_grace / 2));
    }

    base::Duration m_grace;
};

} // namespace redwingseam::forward
