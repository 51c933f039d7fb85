#pragma once

#include "fakes/FakeManifestParser.h"
#include "sync/PlatformStoreClient.h"

#include <map>
#include <vector>

namespace redwingseam::fakes {

// The platform's store, which can be restored from a copy. Its calls never wait.
class RestorableStore {
public:
    struct Event {
        uint64_t revision = 0;
        sync::UpstreamChange change;
    };
    struct Content {
        uint64_t revision = 1;
        std::map<base::UpstreamName, fleet::UpstreamInstance> upstreams;
        std::vector<Event> history;
        uint64_t manifestVersion = 1;
    };

    static fleet::UpstreamInstance upstream(const std::string& name) { return { { name }, { "engines" }, "127.0.0.1:1", { "dc-a" }, 1, 6, false }; }

    void put(const fleet::UpstreamInstance& instance)
    {
        content.upstreams[instance.id] = instance;
        content.history.push_back({ ++content.revision, { instance.id, instance } });
    }
    void put(const std::string& name) { put(upstream(name)); }
    void remove(const std::string& name)
    {
        content.upstreams.erase({ name });
        content.history.push_back({ ++content.revision, { { name }, std::nullopt } });
    }
    void restore(const Content& copy)
    {
        content = copy;
        ++era;
    }

    base::Result<sync::ManifestRead> readManifest()
    {
        auto text = std::to_string(content.manifestVersion);
        return sync::ManifestRead { content.manifestVersion, era, FakeManifestParser::parse(text).value(), text };
    }
    base::Result<sync::UpstreamListRead> listUpstreams()
    {
        if (isDown)
            return unavailable();
        sync::UpstreamListRead read { { version(), {} }, {} };
        for (const auto& [id, instance] : content.upstreams)
            read.list.upstreams.push_back(instance);
        return read;
    }
    base::Result<sync::UpstreamWatchResult> watchUpstreams(uint64_t revision, base::Duration)
    {
        if (isDown)
            return unavailable();
        if (revision > content.revision)
            return base::Error { base::ResultCode::PlatformNotFound, "no such revision" };
        sync::UpstreamWatchResult result { version(), {} };
        for (const auto& event : content.history) {
            if (event.revision > revision)
                result.changes.push_back(event.change);
        }
        return result;
    }
    base::Error registerNode(const sync::NodeRecord&) { return { base::ResultCode::PlatformUnavailable, "not kept here" }; }
    base::Error removeNode(const sync::NodeRecord&) { return { base::ResultCode::PlatformUnavailable, "not kept here" }; }
    base::Result<sync::NodeList> listNodes(sync::Freshness) { return sync::NodeList { era, {} }; }

    static base::Error unavailable() { return { base::ResultCode::PlatformUnavailable, "down" }; }
    sync::StoreVersion version() const { return { era, content.revision }; }

    Content content;
    uint64_t era = 1;
    // Whether calls to list and to watch fail.
    bool isDown = false;
};

} // namespace redwingseam::fakes
