#pragma once

#include "membership/GossipStoreImpl.h"
#include "node/NodeCore.h"
#include "redwingseam/membership/GossipEntryFactory.h"

// Starts and drains a node and reports its status.
namespace redwingseam::node {

template<typename Rules>
NodeCore<Rules>::NodeCore(NodeConfig config)
    : m_config(std::move(config))
    , m_incarnation(m_config.incarnation)
    , m_vmDirectory(m_config.self, m_config.dataCentre)
    // VMs send a heartbeat every second, so a VM times out after four missed heartbeats.
    , m_heartbeatMonitor(m_config.self, std::chrono::seconds(4))
{
}

template<typename Rules>
void NodeCore<Rules>::start(CallContext& context)
{
    for (const auto& seed : m_config.seedVms) {
        // Incarnation 0, so that any record that a seed VM announces about itself overrides the configured one.
        if (seed.name != m_config.self)
            mergeGossipEntry(membership::makeGossipEntry(seed, 0), context);
    }
    announceSelf(membership::VmState::Live, context);
    // Three replies are enough. Asking all VMs would cause a message storm when a whole region starts.
    static constexpr size_t peersAskedAtStart = 3;
    auto peers = randomPeers(peersAskedAtStart, context);
    for (const auto& vm : remoteGossipTargets(context)) {
        if (peers.size() < peersAskedAtStart)
            peers.push_back(vm);
    }
    for (const auto& vm : peers)
        send(vm, makeDigest(true), context);
    updateWatches(context);
}

template<typename Rules>
void NodeCore<Rules>::announceSelf(membership::VmState state, CallContext& context)
{
    mergeGossipEntry(membership::makeGossipEntry(membership::VmRecord { m_config.self, m_config.dataCentre, m_config.peerAddress, state }, m_incarnation), context);
}

template<typename Rules>
void NodeCore<Rules>::beginDrain(CallContext& context)
{
    m_isDraining = true;
    announceSelf(membership::VmState::Leaving, context);
    gossip(context);
}

template<typename Rules>
bool NodeCore<Rules>::isDrained()
{
    size_t open = 0;
    m_requests.forEach([&](RequestMap& requests) { open += requests.size(); });
    return !open && !m_claimLog.pending();
}

template<typename Rules>
NodeStatus NodeCore<Rules>::status(base::Instant now)
{
    static constexpr base::Duration platformTimeout = std::chrono::seconds(10);
    NodeStatus status;
    status.vm = m_config.self;
    status.dataCentre = m_config.dataCentre;
    auto tree = m_settings.snapshot();
    status.settingsVersion = tree->version();
    status.branches = tree->branches().size();
    m_requests.forEach([&](RequestMap& requests) { status.requests += requests.size(); });
    m_pools.forEach([&](PoolShard& shard) {
        for (const auto& [name, pool] : shard.pools) {
            status.queued += pool.queue().size();
            for (const auto& view : pool.upstreams())
                ++(view.takesWork() ? status.upstreamsLive : status.upstreamsDown);
        }
    });
    status.vmsLive = m_vmDirectory.live().size();
    status.claimsPending = m_claimLog.pending();
    status.gossipEntries = m_gossipStore.size();
    status.isDraining = m_isDraining;
    auto unreachableSince = m_platformUnreachableSince.load();
    status.isPlatformReachable = !unreachableSince || now.time_since_epoch().count() - unreachableSince < platformTimeout.count();
    status.dataCentresSeen = m_vmDirectory.otherDataCentres();
    return status;
}

template<typename Rules>
std::vector<route::UpstreamRecord> NodeCore<Rules>::upstreams()
{
    std::vector<route::UpstreamRecord> records;
    for (const auto& entry : m_gossipStore.all(membership::GossipKind::Upstream))
        records.push_back(std::get<route::UpstreamRecord>(entry.body));
    return records;
}

} // namespace redwingseam::node
