#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

#include <vector>

namespace redwingseam::fleet {

// Infers the outage of a data centre from upstreams that fail at about the same time. Not synchronised.
class DataCentreHealth {
public:
    // Sets the number of eligible upstreams in the data centre (see PoolEntry::isEligible).
    void setUpstreamCount(size_t count) { m_upstreamCount = count; }
    // Records that the upstream appears to be down. A later failure of the same upstream replaces an earlier one.
    void recordFailure(const base::UpstreamName&, base::Instant now);
    // Removes the upstream's failure.
    void recordSuccess(const base::UpstreamName&);
    // Returns whether the other upstreams are likely to fail as well.
    bool isOutageSuspected(base::Instant now) const;

private:
    struct Failure {
        base::UpstreamName upstream;
        base::Instant failedAt;
    };

    // A single upstream may fail independently of its data centre.
    static constexpr size_t minFailures = 2;
    // Restarts of individual upstreams among many stay below this share.
    static constexpr double minFailedShare = 0.2;
    // Roughly the time that a restarted upstream needs until it serves requests again.
    static constexpr base::Duration failureWindow = std::chrono::milliseconds(1200);

    size_t m_upstreamCount = 0;
    std::vector<Failure> m_failures;
};

} // namespace redwingseam::fleet
