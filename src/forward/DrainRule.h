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

    // `usualStream`: how long streams take at present.
    bool takes(const manifest::Route& route, base::Duration sinceTold, base::Duration usualStream) const
    {
        auto usual = route.kind == manifest::RouteKind::Stream ? usualStream : usualAnswer;
        return sinceTold + std::min(usual, route.timeout) < m_grace;
    }

private:
    static constexpr base::Duration usualAnswer = std::chrono::milliseconds(1000);

    base::Duration m_grace;
};

} // namespace redwingseam::forward
