#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>
#include <map>

namespace redwingseam::fleet {

// The number of upstreams of each software version of a service. Assigns each stream to a version, in proportion to the
// numbers, so that any node with the same numbers finds the same version by the attempt that began the stream. If a number
// grows, streams move to that version only. A plain value.
struct VersionWeights {
    std::map<base::SoftwareVersion, uint32_t> counts;

    // Returns the empty version if there are no upstreams.
    base::SoftwareVersion assigned(const base::ClientAttemptId&) const;
    // Returns the version to which all similar weights assign the stream, or the empty version if they differ.
    base::SoftwareVersion clearlyAssigned(const base::ClientAttemptId&) const;
    // Returns whether the shares of all versions are about the same in both, and so most assignments.
    bool isSimilar(const VersionWeights&) const;

    bool operator==(const VersionWeights&) const = default;

private:
    double shareOf(const base::SoftwareVersion&) const;
    // The version with the lowest cost in proportion to its share gets the stream.
    static double costOf(const base::SoftwareVersion&, uint64_t attemptHash);
};

} // namespace redwingseam::fleet
