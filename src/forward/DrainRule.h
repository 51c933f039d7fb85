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

    bool takes(const manifest::Route& route, base::Duration sinceTold) const
    {
        auto usual = route.kind == manifest::RouteKind::Stream ? usualStream : usualAnswer;
        return sinceTold + std::min(usual, route.timeout) < m_grace;
    }

private:
    // Most generations of the two users end within this time.
    static constexpr base::Duration usualStream = std::chrono::milliseconds(6000);
    static constexpr base::Duration usualAnswer = std::chrono::milliseconds(1000);

    base::Duration m_grace;
};

} // namespace redwingseam::forward
