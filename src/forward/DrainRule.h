#pragma once

#include "redwingseam/manifest/Route.h"

namespace redwingseam::forward {

// Whether a node that was told to stop still takes a request on, so that its answer ends before the
// process is killed.
class DrainRule {
public:
    // `grace`: from being told until being killed.
    explicit DrainRule(base::Duration grace)
        : m_grace(grace)
    {
    }

    // `expectedStreamDuration`: how long streams take at present.
    bool admits(const manifest::Route& route, base::Duration sinceDrainBegan, base::Duration expectedStreamDuration) const
    {
        auto expectedDuration = route.kind == manifest::RouteKind::Stream ? expectedStreamDuration : expectedAnswerDuration;
        return sinceDrainBegan + std::min(expectedDuration, route.timeout) < m_grace;
    }

private:
    static constexpr base::Duration expectedAnswerDuration = std::chrono::milliseconds(1000);

    base::Duration m_grace;
};

} // namespace redwingseam::forward
