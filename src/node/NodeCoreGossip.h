#pragma once

#include "membership/GossipStoreImpl.h"
#include "node/NodeCore.h"
#include "redwingseam/membership/GossipEntryFactory.h"

#include <bit>

// Merges gossip entries and applies them to the state of the node: VMs, upstreams, crash reports, client usage and
// settings branches.
namespace redwingseam::node {

template<typename Rules>
void NodeCore<Rules>::mergeGossipEntry(const membership::GossipEntry& entry, CallContext& context)
{
    if (!m_gossipStore.merge(entry))
        return;
    // About 2 log2(n) sends are enough for a rumor to reach every VM in the data centre. Digests repair
    // what it misses.
    auto peers = m_vmDirectory.liveInDataCentre(m_config.dataCentre).size();
    auto sendCount = static_cast<uint32_t>(2 * std::bit_width(peers) + 1);
    m_rumors.add(entry, sendCount);
    static constexpr uint32_t remoteSendCount = 3;
    bool isLocalOnly = entry.key.kind == membership::GossipKind::HeavyClients;
    if (!isLocalOnly && isRemoteGossiper())
        m_remoteRumors.add(entry, remoteSendCount);
    applyGossipEntry(entry, context);
}

template<typename Rules>
void NodeCore<Rules>::applyGossipEntry(const membership::GossipEntry& entry, CallContext& context)
{
    switch (entry.key.kind) {
    case membership::GossipKind::Vm:
        applyVm(entry, context);
        break;
    case membership::GossipKind::Upstream:
        applyUpstream(std::get<route::UpstreamRecord>(entry.body), context);
        break;
    case membership::GossipKind::CrashReport:
        applyCrashReport(std::get<membership::CrashReport>(entry.body), context);
        break;
    case membership::GossipKind::HeavyClients:
        applyHeavyClients(std::get<membership::HeavyClients>(entry.body));
        break;
    case membership::GossipKind::Branch:
        if (m_settings.applyIfNewer(std::get<settings::Branch>(entry.body)))
            applyFloors();
        break;
    }
}

template<typename Rules>
void NodeCore<Rules>::applyCrashReport(const membership::CrashReport& report, CallContext& context)
{
    m_crashAttribution.applyReport(report, context.now);
    if (report.isQuarantined)
        return;
    for (const auto& crash : report.crashes) {
        // A peer saw the upstream crash. All nodes must agree on which upstreams are left, so that they place
        // suspects on separate ones.
        auto pool = m_poolDirectory.poolOf(crash.upstream);
        if (pool && crashIdOf(crash.upstream) == crash)
            withPool(*pool, [&](FairPool& target) { target.markDown(crash.upstream); });
    }
}

template<typename Rules>
void NodeCore<Rules>::applyFloors()
{
    auto tree = m_settings.snapshot();
    settings::Scope scope { {}, {}, m_config.region };
    schedule::RankFloors floors;
    floors.permille[base::indexOf(base::Rank::Standard)] = settings::resolveField(*tree, scope, settings::Field::StandardFloorPermille).value;
    floors.permille[base::indexOf(base::Rank::Deferrable)] = settings::resolveField(*tree, scope, settings::Field::DeferrableFloorPermille).value;
    m_pools.forEach([&](PoolShard& shard) {
        for (auto& [name, pool] : shard.pools) {
            pool.queue().setFloors(floors);
            pool.setDeferrableFloor(floors.permille[base::indexOf(base::Rank::Deferrable)]);
        }
    });
}

template<typename Rules>
void NodeCore<Rules>::applyUpstream(const route::UpstreamRecord& record, CallContext& context)
{
    bool isLocal = record.dataCentre == m_config.dataCentre;
    auto nodesSharing = std::max<size_t>(1, m_vmDirectory.liveInDataCentre(record.dataCentre).size());
    m_poolDirectory.update(record);
    bool isNewPool = false;
    m_pools.with(std::hash<base::PoolName> {}(record.pool), [&](PoolShard& shard) {
        auto [slot, isNew] = shard.pools.try_emplace(record.pool, route::SubsetChooser(m_config.self));
        slot->second.upsert(record, isLocal ? 0 : 1, static_cast<uint32_t>(nodesSharing));
        isNewPool = isNew;
    });
    if (isNewPool)
        applyFloors();
    dispatchQueued(record.pool, context);
}

template<typename Rules>
void NodeCore<Rules>::applyVm(const membership::GossipEntry& entry, CallContext& context)
{
    const auto& record = std::get<membership::VmRecord>(entry.body);
    auto ownState = m_isDraining ? membership::VmState::Leaving : membership::VmState::Live;
    bool isSelf = record.name == m_config.self;
    bool contradictsOwnState = entry.incarnation > m_incarnation || record.state != ownState;
    if (isSelf && contradictsOwnState) {
        // A peer declared this VM Gone or still has the record of an earlier start. Only a newer incarnation
        // overrides that record.
        m_incarnation = entry.incarnation + 1;
        announceSelf(ownState, context);
        return;
    }
    m_vmDirectory.update(record);
}

template<typename Rules>
void NodeCore<Rules>::applyHeavyClients(const membership::HeavyClients& heavy)
{
    if (heavy.vm == m_config.self)
        return;
    // Assumes that a client's work is spread evenly over the VMs, so this VM charges 1/n of the usage that
    // another one reports.
    auto vms = std::max<size_t>(1, m_vmDirectory.liveInDataCentre(m_config.dataCentre).size());
    m_pools.forEach([&](PoolShard& shard) {
        for (auto& [name, pool] : shard.pools) {
            for (const auto& usage : heavy.clients)
                pool.queue().charge(usage.rank, usage.client, usage.cost / vms, usage.weight);
        }
    });
}

template<typename Rules>
void NodeCore<Rules>::gossipHeavyClients(CallContext& context)
{
    static constexpr size_t maxClients = 8;
    auto heaviest = m_clientUsage.takeHeaviest(maxClients);
    if (heaviest.empty())
        return;
    mergeGossipEntry(membership::makeGossipEntry(membership::HeavyClients { m_config.self, std::move(heaviest) }, m_incarnation, ++m_clientUsageSequence), context);
}

} // namespace redwingseam::node
