#pragma once

#include "fakes/FakeManifestParser.h"
#include "replication/PeerSync.h"

namespace redwingseam::fakes {

// A node's PeerSync with the state that it synchronises.
struct PeerNode {
    explicit PeerNode(const std::string& name, const std::string& dataCentre)
        : record { { name }, { dataCentre }, name }
        , sync(record, fleet, crashes, origins, manifest, upstreamCache, role, era)
    {
        fleet.update(fleetList(), base::Instant(std::chrono::seconds(1)), {});
    }

    static std::vector<fleet::UpstreamInstance> fleetList()
    {
        return { { { "e1" }, { "engines" }, "127.0.0.1:1", { "dc-a" }, 1, 6, false }, { { "e2" }, { "engines" }, "127.0.0.1:2", { "dc-b" }, 1, 6, false } };
    }

    void confirm(uint64_t version, base::Instant readBegan) { confirm(std::to_string(version), readBegan); }
    // `text` begins with the version.
    void confirm(const std::string& text, base::Instant readBegan) { manifest.update(FakeManifestParser::parse(text).value(), text, readBegan); }

    uint64_t manifestVersion() const
    {
        auto state = manifest.state();
        return state.index ? state.index->manifest().version : 0;
    }

    sync::NodeRecord record;
    fleet::Fleet fleet { { "dc-a" } };
    forward::CrashEvidence crashes;
    origin::StreamOrigins origins { fleet };
    manifest::ManifestHolder manifest;
    sync::UpstreamListCache upstreamCache;
    sync::NodeRole role;
    sync::StoreEra era;
    replication::PeerSync<FakeManifestParser> sync;
};

} // namespace redwingseam::fakes
