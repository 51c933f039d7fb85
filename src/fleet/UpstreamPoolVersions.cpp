// The software versions of a pool's upstreams.

#include "fleet/UpstreamPool.h"
#include "fleet/VersionMatch.h"

#include <algorithm>

namespace redwingseam::fleet {

void UpstreamPool::countVersions(const std::vector<UpstreamInstance>& listed, base::Instant readBegan)
{
    m_versionWeights.counts.clear();
    for (const auto& instance : listed) {
        m_versions.record(instance.version, readBegan);
        m_versionWeights.counts[instance.version] += !instance.isDraining;
    }
    if (!listed.empty())
        m_versions.recordListing(readBegan);
}

bool UpstreamPool::serves(const base::SoftwareVersion& version, base::Instant now) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const PoolEntry& entry) { return entry.isEligible(now) && isCompatible(version, entry.instance.version); });
}

} // namespace redwingseam::fleet
