#pragma once

#include "redwingseam/manifest/Route.h"

namespace redwingseam::forward {

// Decides whether a draining node still admits a request, so that its response ends before the process is killed.
class DrainRule {
public:
    // `grace`: time from the start of the drain until the process is killed.
    explicit DrainRule(base::Duration grace)
        : m_grace(grace)
    {
    }

    // `expectedStreamDuration`: current estimate of the duration of a stream.
    bool admits(const manifest::Route& route, base::Duration sinceDrainBegan, base::Duration expectedStreamDuration) const
    {
        auto expectedDuration = route.kind == manifest::RouteKind::Stream ? expectedStreamDuration : expectedResponseDuration;
        return sinceDrainBegan + std::min(expectedDuration, route.timeout) < m_grace;
    }

private:
    // Expected duration of a response that is not a stream.
    static constexpr base::Duration expectedResponseDuration = std::chrono::milliseconds(1000);

    base::Duration m_grace;
};

} // namespace redwingseam::forward
