#pragma once

#include "redwingseam/base/Instant.h"

namespace redwingseam::fleet {

// How many of this node's latest requests to one upstream it refused as full. Not synchronised.
class RefusalWindow {
public:
    void record(bool isRefused, base::Instant now);
    // Returns the requests that were sent, and those that were refused. Older ones count less and less.
    double asked(base::Instant now) const { return m_asked * remaining(now); }
    double refused(base::Instant now) const { return m_refused * remaining(now); }

private:
    // The upstreams' queues empty within this once a flood ends.
    static constexpr base::Duration halfLife = std::chrono::milliseconds(600);

    double remaining(base::Instant now) const;

    double m_asked = 0;
    double m_refused = 0;
    base::Instant m_updatedAt {};
};

} // namespace redwingseam::fleet
