#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

#include <map>
#include <vector>

namespace redwingseam::fleet {

// The software versions of a service's upstreams, each with the time at which it was last known to serve. Not synchronised.
class VersionHistory {
public:
    // Records that an upstream of the version served at `at`. The empty version stands for versions that are not known.
    void record(const base::SoftwareVersion&, base::Instant at);
    // Records that all versions listed at `at` have been recorded.
    void recordListing(base::Instant at);
    // Returns the versions that served at `since` or later, and always those of the last list.
    std::vector<base::SoftwareVersion> servedSince(base::Instant since) const;

private:
    // No stream lives for longer.
    static constexpr base::Duration retention = std::chrono::hours(1);

    std::map<base::SoftwareVersion, base::Instant> m_lastServed;
    base::Instant m_lastListing {};
};

} // namespace redwingseam::fleet
