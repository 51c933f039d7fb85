#pragma once

#include "sync/PlatformStoreClient.h"

#include <thread>

namespace redwingseam::fakes {

// Store that returns the given list and changes of upstreams; its other calls fail as unavailable.
struct FakeUpstreamStore {
    sync::UpstreamListRead list;
    std::vector<sync::UpstreamChange> changes;
    // How long the process stands still after the store has answered a watch.
    base::Duration standstill {};

    base::Result<sync::ManifestRead> readManifest() { return unavailable(); }
    base::Result<sync::UpstreamListRead> listUpstreams() { return list; }
    base::Result<sync::UpstreamWatchResult> watchUpstreams(uint64_t revision, base::Duration)
    {
        std::this_thread::sleep_for(standstill);
        return sync::UpstreamWatchResult { { 1, revision + 1 }, std::move(changes) };
    }
    base::Error registerNode(const sync::NodeRecord&) { return unavailable(); }
    base::Error removeNode(const sync::NodeRecord&) { return unavailable(); }
    base::Result<sync::NodeList> listNodes(sync::Freshness) { return unavailable(); }

    static base::Error unavailable() { return { base::ResultCode::PlatformUnavailable, "down" }; }
};

} // namespace redwingseam::fakes
