#pragma once

#include "fleet/LoadMap.h"
#include "redwingseam/base/Instant.h"

#include <map>
#include <string>

namespace redwingseam::replication {

// Stores the latest load report of each source: a node of this data centre, or another data centre as a whole. Sources
// are keyed by name, so no node may have the name of a data centre. Not thread-safe.
class PeerLoadTable {
public:
    void set(const std::string& source, fleet::LoadMap loads, base::Instant now)
    {
        m_sources[source] = { std::move(loads), now };
    }

    // Returns the last report of one source, even if it is expired.
    fleet::LoadMap reportOf(const std::string& source) const
    {
        auto found = m_sources.find(source);
        return found == m_sources.end() ? fleet::LoadMap {} : found->second.loads;
    }

    // Returns the sum of all reports that are not expired, excluding the report of `excluded`.
    fleet::LoadMap sum(base::Instant now, const std::string& excluded = {}) const
    {
        fleet::LoadMap total;
        for (const auto& [source, entry] : m_sources) {
            if (source == excluded || now - entry.receivedAt > loadTimeout)
                continue;
            for (const auto& [upstream, load] : entry.loads)
                total[upstream] += load;
        }
        return total;
    }

    void removeExpired(base::Instant now)
    {
        std::erase_if(m_sources, [&](const auto& item) { return now - item.second.receivedAt > loadTimeout; });
    }

private:
    struct Entry {
        fleet::LoadMap loads;
        base::Instant receivedAt {};
    };

    // Several consecutive messages may be lost before a node counts as idle.
    static constexpr base::Duration loadTimeout = std::chrono::milliseconds(2000);

    std::map<std::string, Entry> m_sources;
};

} // namespace redwingseam::replication
