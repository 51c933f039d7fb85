#pragma once

#include "fleet/Fleet.h"
#include "forward/Exchange.h"

#include "fakes/FakeClock.h"

namespace redwingseam::fakes {

// A fleet seen from data centre dc-a, with a manifest that routes requests to an engine service and a
// plain service.
struct FleetFixture {
    FakeClock clock;
    fleet::Fleet fleet { { "dc-a" } };
    forward::PlacementQueue queue;
    forward::CrashEvidence crashes;
    origin::StreamOrigins origins { fleet };
    forward::ExchangePolicy exchangePolicy;
    std::vector<fleet::UpstreamInstance> instances;
    mutable uint64_t requestCount = 0;
    std::shared_ptr<const manifest::ManifestIndex> index = std::make_shared<const manifest::ManifestIndex>(makeManifest());

    FleetFixture() { origins.setHistoryKnown(); }

    static manifest::Manifest makeManifest()
    {
        using std::chrono::milliseconds;
        manifest::Manifest manifest;
        manifest.version = 1;
        manifest.routes.push_back({ { "stream" }, "h", "/stream/", manifest::RouteKind::Stream, { { { "engines" }, 1 } }, milliseconds(25000), milliseconds(4000), milliseconds(700), 0, 5, false, true });
        manifest.routes.push_back({ { "read" }, "h", "/read/", manifest::RouteKind::Idempotent, { { { "desk" }, 1 } }, milliseconds(1200), milliseconds(400), {}, 2, 2 });
        manifest.routes.push_back({ { "book" }, "h", "/book/", manifest::RouteKind::NonIdempotent, { { { "desk" }, 1 } }, milliseconds(1200), milliseconds(400), {}, 2, 1 });
        manifest.services.push_back({ { "engines" }, 370, manifest::EngineSpec { 64, 88000, true, std::chrono::seconds(4) } });
        manifest.services.push_back({ { "desk" }, 110, std::nullopt });
        manifest.accounts.emplace().push_back({ { "account" }, { { "key" } }, std::nullopt });
        return manifest;
    }

    void addUpstream(const std::string& id, const std::string& service, const std::string& dataCentre, uint64_t incarnation = 1, const std::string& address = {}, const std::string& version = {})
    {
        auto port = std::to_string(8000 + instances.size());
        instances.push_back({ { id }, { service }, address.empty() ? "127.0.0.1:" + port : address, { dataCentre }, incarnation, 6, false, { version } });
    }

    void update(base::Duration grace = {}) { fleet.update(instances, clock.now(), grace); }

    // Adds three engines in each of three data centres.
    void addEngines()
    {
        for (const char* dataCentre : { "dc-a", "dc-b", "dc-c" }) {
            for (int i = 0; i < 3; ++i)
                addUpstream(std::string(dataCentre) + "-" + std::to_string(i), "engines", dataCentre);
        }
        update();
    }

    forward::ExchangeRequest makeRequest(const std::string& path) const
    {
        forward::ExchangeRequest request;
        request.id.value = requestCount + 1;
        request.index = index;
        request.route = index->route("h", path);
        request.service = request.route->services.front().service;
        request.fingerprint.value = ++requestCount;
        request.retries.slack = 1000;
        request.arrivedAt = clock.now();
        request.clientTimeout = std::chrono::seconds(25);
        if (request.route->kind == manifest::RouteKind::Stream) {
            request.promptTokens = 8000;
            request.maxOutputTokens = 650;
        }
        return request;
    }

    void advance(base::Duration duration) { clock.moveTo(clock.now() + duration); }

    // Returns the sum of this node's own load over all upstreams.
    fleet::UpstreamLoad totalLoad()
    {
        fleet::UpstreamLoad total;
        for (const auto& entry : fleet.entries())
            total += entry.localLoad;
        return total;
    }
};

} // namespace redwingseam::fakes
