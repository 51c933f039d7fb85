#pragma once

#include "fakes/FakeWorld.h"
#include "fakes/Requests.h"
#include "redwingseam/settings/BranchCodec.h"

#include <string>

namespace redwingseam::fakes {

// Puts an operator's edit into the store.
template<typename World>
void editBranch(World& world, const std::string& path, const std::string& json)
{
    world.putObject(store::rawBranchKey(path), store::RawBranch { path, json });
}

// A world with engines in each data centre, two services, and their settings in force.
template<typename Policies = node::DefaultRules>
struct Deployment {
    explicit Deployment(const WorldOptions& options, size_t enginesPerDataCentre = 2, uint32_t slots = 8)
        : world(options)
    {
        editBranch(world, "/work/booking", R"({"idempotent":false,"deadline_ms":10000})");
        editBranch(world, "/work/lookup", R"({"idempotent":true,"deadline_ms":30000})");
        for (size_t dataCentre = 0; dataCentre < options.dataCentres; ++dataCentre) {
            for (size_t engine = 0; engine < enginesPerDataCentre; ++engine)
                engines.push_back(world.addUpstream(route::UpstreamKind::Engine, "draft@1", dataCentre, slots));
        }
        bookingService = world.addUpstream(route::UpstreamKind::Service, "booking", 0, 16);
        lookupService = world.addUpstream(route::UpstreamKind::Service, "lookup", 0, 16);
        world.runFor(std::chrono::seconds(4));
    }

    FakeWorld<Policies> world;
    std::vector<size_t> engines;
    size_t bookingService = 0;
    size_t lookupService = 0;
};

} // namespace redwingseam::fakes
