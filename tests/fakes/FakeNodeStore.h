#pragma once

#include "sync/PlatformStoreClient.h"

#include <algorithm>
#include <vector>

namespace redwingseam::fakes {

// Store that keeps only node records; its other calls fail as unavailable.
struct FakeNodeStore {
    std::vector<sync::NodeRecord> entries;
    unsigned latestReads = 0;
    unsigned recentReads = 0;
    unsigned writes = 0;
    unsigned removals = 0;
    bool isDown = false;
    bool refusesRemovals = false;
    uint64_t era = 1;

    base::Result<sync::ManifestRead> readManifest() { return unavailable(); }
    base::Result<sync::UpstreamListRead> listUpstreams() { return unavailable(); }
    base::Result<sync::UpstreamWatchResult> watchUpstreams(uint64_t, base::Duration) { return unavailable(); }
    base::Error registerNode(const sync::NodeRecord& node)
    {
        if (isDown)
            return unavailable();
        ++writes;
        std::erase_if(entries, [&](const auto& entry) { return entry.name == node.name; });
        entries.push_back(node);
        return {};
    }
    base::Error removeNode(const sync::NodeRecord& node)
    {
        if (isDown || refusesRemovals)
            return unavailable();
        ++removals;
        auto found = std::find_if(entries.begin(), entries.end(), [&](const auto& entry) { return entry.name == node.name; });
        if (found == entries.end())
            return {};
        if (*found != node)
            return { base::ResultCode::PlatformConflict, "another entry" };
        entries.erase(found);
        return {};
    }
    base::Result<sync::NodeList> listNodes(sync::Freshness freshness)
    {
        if (isDown)
            return unavailable();
        ++(freshness == sync::Freshness::Latest ? latestReads : recentReads);
        return sync::NodeList { era, entries };
    }

    static base::Error unavailable() { return { base::ResultCode::PlatformUnavailable, "down" }; }
};

} // namespace redwingseam::fakes
