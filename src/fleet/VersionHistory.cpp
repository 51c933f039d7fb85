#include "fleet/VersionHistory.h"

#include <algorithm>

namespace redwingseam::fleet {

void VersionHistory::record(const base::SoftwareVersion& version, base::Instant at)
{
    auto& last = m_lastServed[version];
    last = std::max(last, at);
}

void VersionHistory::recordListing(base::Instant at)
{
    m_lastListing = std::max(m_lastListing, at);
    std::erase_if(m_lastServed, [&](const auto& item) { return m_lastListing - item.second > retention; });
}

std::vector<base::SoftwareVersion> VersionHistory::servedSince(base::Instant since) const
{
    std::vector<base::SoftwareVersion> versions;
    for (const auto& [version, at] : m_lastServed) {
        if (at >= std::min(since, m_lastListing))
            versions.push_back(version);
    }
    return versions;
}

} // namespace redwingseam::fleet
