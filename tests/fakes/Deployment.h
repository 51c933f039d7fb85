#pragma once

#include "fakes/FakeCluster.h"
#include "fakes/Requests.h"
#include "redwingseam/settings/BranchCodec.h"

#include <string>

namespace redwingseam::fakes {

// Writes an operator's edit of a settings branch to the store.
template<typename Cluster>
void editBranch(Cluster& cluster, const std::string& path, const std::string& json)
{
    cluster.putObject(store::branchEditKey(path), store::BranchEdit { path, json });
}

// A cluster with engines in each data centre and two services, whose settings are in force.
template<typename Policies = node::DefaultRules>
struct Deployment {
    explicit Deployment(const ClusterOptions& options, size_t enginesPerDataCentre = 2, uint32_t slots = 8)
        : cluster(options)
    {
        editBranch(cluster, "/work/booking", R"({"idempotent":false,"deadline_ms":10000})");
        editBranch(cluster, "/work/lookup", R"({"idempotent":true,"deadline_ms":30000})");
        for (size_t dataCentre = 0; dataCentre < options.dataCentres; ++dataCentre) {
            for (size_t engine = 0; engine < enginesPerDataCentre; ++engine)
                engines.push_back(cluster.addUpstream(route::UpstreamKind::Engine, "draft@1", dataCentre, slots));
        }
        bookingService = cluster.addUpstream(route::UpstreamKind::Service, "booking", 0, 16);
        lookupService = cluster.addUpstream(route::UpstreamKind::Service, "lookup", 0, 16);
        cluster.runFor(std::chrono::seconds(4));
    }

    FakeCluster<Policies> cluster;
    std::vector<size_t> engines;
    size_t bookingService = 0;
    size_t lookupService = 0;
};

} // namespace redwingseam::fakes
