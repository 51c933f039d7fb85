#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

#include <vector>

namespace redwingseam::fleet {

// Infers from upstreams that fail at about the same moment that their data centre fails as a whole. Not
// synchronised.
class DataCentreHealth {
public:
    void noteFailure(const base::UpstreamName&, base::Instant now);
    void noteSuccess(const base::UpstreamName&);
    // Whether its other upstreams are likely to fail as well.
    bool isDoubtful(base::Instant now) const;

private:
    struct Failure {
        base::UpstreamName upstream;
        base::Instant at;
    };

    // One upstream alone may fail for reasons of its own.
    static constexpr size_t fewestFailures = 2;
    // About the time in which restarted upstreams serve again.
    static constexpr base::Duration memory = std::chrono::milliseconds(1200);

    std::vector<Failure> m_failures;
};

} // namespace redwingseam::fleet
