#pragma once

#include "fakes/Deployment.h"
#include "fakes/Fault.h"

namespace redwingseam::fakes {

// Starts a fault, or ends it if it is active. `randomWord` selects the fault and its target.
template<typename Policies>
void toggleFault(Deployment<Policies>& deployment, const ClusterOptions& options, uint32_t randomWord)
{
    auto& cluster = deployment.cluster;
    auto fault = static_cast<Fault>(randomWord % faultCount);
    auto target = randomWord / faultCount;
    auto engine = deployment.engines[target % deployment.engines.size()];
    auto node = target % options.nodes;
    bool isStarting = (target / 8) % 2 == 0;
    switch (fault) {
    case Fault::KillEngine:
        if (cluster.upstreams()[engine].isAlive)
            cluster.killUpstream(engine);
        else
            cluster.restartUpstream(engine);
        break;
    case Fault::FreezeEngine:
        if (cluster.upstreams()[engine].isFrozen)
            cluster.unfreezeUpstream(engine);
        else
            cluster.freezeUpstream(engine);
        break;
    case Fault::CrashNode:
        if (cluster.isRunning(node))
            cluster.crashNode(node);
        else
            cluster.startNode(node);
        break;
    case Fault::PauseNode:
        if (cluster.isRunning(node))
            cluster.pauseNode(node, std::chrono::seconds(1 + target % 9));
        break;
    case Fault::StoreDown:
        cluster.setStoreDown(isStarting);
        break;
    case Fault::LoseStoreReplies:
        cluster.setStoreReplyLoss(isStarting ? 400 : 0);
        break;
    case Fault::PartitionDataCentre:
        cluster.setPartitioned(target % options.dataCentres, isStarting);
        break;
    }
}

// Ends all faults, so that all accepted requests can complete.
template<typename Policies>
void clearFaults(Deployment<Policies>& deployment, const ClusterOptions& options)
{
    auto& cluster = deployment.cluster;
    cluster.setStoreDown(false);
    cluster.setStoreReplyLoss(0);
    for (size_t dataCentre = 0; dataCentre < options.dataCentres; ++dataCentre)
        cluster.setPartitioned(dataCentre, false);
    for (auto engine : deployment.engines) {
        if (cluster.upstreams()[engine].isFrozen)
            cluster.unfreezeUpstream(engine);
        if (!cluster.upstreams()[engine].isAlive)
            cluster.restartUpstream(engine);
    }
    for (size_t node = 0; node < options.nodes; ++node) {
        if (!cluster.isRunning(node))
            cluster.startNode(node);
    }
}

} // namespace redwingseam::fakes
