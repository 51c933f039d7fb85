#pragma once

#include "sync/PlatformStoreClient.h"

#include <vector>

namespace redwingseam::fakes {

// The part of a store that keeps the entries of nodes.
struct NodeStore {
    std::vector<sync::NodeRecord> entries;
    unsigned reads = 0;
    unsigned cheapReads = 0;
    unsigned writes = 0;
    bool isDown = false;

    base::Result<sync::ManifestRead> readManifest() { return down(); }
    base::Result<sync::UpstreamList> listUpstreams() { return down(); }
    base::Result<sync::UpstreamWatchResult> watchUpstreams(uint64_t, base::Duration) { return down(); }
    base::Error registerNode(const sync::NodeRecord& node)
    {
        if (isDown)
            return down();
        ++writes;
        std::erase_if(entries, [&](const auto& entry) { return entry.name == node.name; });
        entries.push_back(node);
        return {};
    }
    base::Result<std::vector<sync::NodeRecord>> listNodes(sync::Freshness freshness)
    {
        if (isDown)
            return down();
        ++(freshness == sync::Freshness::Latest ? reads : cheapReads);
        return entries;
    }

    static base::Error down() { return { base::ResultCode::PlatformUnavailable, "down" }; }
};

} // namespace redwingseam::fakes
