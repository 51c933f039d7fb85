#pragma once

#include "redwingseam/base/Instant.h"

#include <algorithm>
#include <cstdint>

namespace redwingseam::replication {

// The last version of the manifest that this node received and could not read. It is requested again after an interval that
// doubles, while newer versions and the list of upstreams are requested at once. Not synchronised.
class UnreadableManifest {
public:
    void record(uint64_t version, base::Instant now)
    {
        m_interval = version == m_version ? std::min(m_interval * 2, maxInterval) : initialInterval;
        m_version = version;
        m_receivedAt = now;
    }

    // Returns the version that is not to be requested at present; 0 if none.
    uint64_t versionToSkip(base::Instant now) const { return now - m_receivedAt < m_interval ? m_version : 0; }

private:
    static constexpr base::Duration initialInterval = std::chrono::seconds(2);
    static constexpr base::Duration maxInterval = std::chrono::seconds(32);

    uint64_t m_version = 0;
    base::Instant m_receivedAt {};
    base::Duration m_interval {};
};

} // namespace redwingseam::replication
