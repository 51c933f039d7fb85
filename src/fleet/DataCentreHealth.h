#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

#include <vector>

namespace redwingseam::fleet {

// Infers from upstreams that fail at about the same moment that their data centre fails as a whole. Not
// synchronised.
class DataCentreHealth {
public:
    // Number of its upstreams that are listed.
    void setUpstreamCount(size_t count) { m_upstreamCount = count; }
    void noteFailure(const base::UpstreamName&, base::Instant now);
    void noteSuccess(const base::UpstreamName&);
    // Whether its other upstreams are likely to fail as well.
    bool isOutageSuspected(base::Instant now) const;

private:
    struct Failure {
        base::UpstreamName upstream;
        base::Instant at;
    };

    // One upstream alone may fail for reasons of its own.
    static constexpr size_t minFailures = 2;
    // Single restarts among many upstreams stay below this share.
    static constexpr double minFailedShare = 0.2;
    // About the time in which restarted upstreams serve again.
    static constexpr base::Duration failureWindow = std::chrono::milliseconds(1200);

    size_t m_upstreamCount = 0;
    std::vector<Failure> m_failures;
};

} // namespace redwingseam::fleet
