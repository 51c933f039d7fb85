#pragma once

#include "fleet/LoadMap.h"
#include "redwingseam/base/Instant.h"

#include <map>
#include <string>

namespace redwingseam::replication {

// Booked work by who told of it: a node of the own data centre, or another data centre as a whole. Not
// synchronised.
class PeerLoadTable {
public:
    void set(const std::string& source, fleet::LoadMap loads, base::Instant now)
    {
        m_sources[source] = { std::move(loads), now };
    }

    // What one source told last.
    fleet::LoadMap from(const std::string& source) const
    {
        auto found = m_sources.find(source);
        return found == m_sources.end() ? fleet::LoadMap {} : found->second.loads;
    }

    // Sum over the sources that told lately, without `except`.
    fleet::LoadMap sum(base::Instant now, const std::string& except = {}) const
    {
        fleet::LoadMap total;
        for (const auto& [source, entry] : m_sources) {
            if (source == except || now - entry.receivedAt > loadTimeout)
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

    // Several messages may be lost before a node counts as idle.
    static constexpr base::Duration loadTimeout = std::chrono::milliseconds(2000);

    std::map<std::string, Entry> m_sources;
};

} // namespace redwingseam::replication
