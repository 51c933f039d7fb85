#pragma once

#include "membership/GossipStoreImpl.h"
#include "node/NodeCore.h"
#include "redwingseam/membership/GossipEntryFactory.h"

#include <bit>

// What follows from facts about VMs, upstreams, requests, clients and branches.
namespace redwingseam::node {

template<typename Policies>
void NodeCore<Policies>::learn(const membership::GossipEntry& entry, Context& context)
{
    if (!m_gossipStore.merge(entry))
        return;
    // Enough sends for a rumor to reach everyone in the data centre; digests catch what it misses.
    auto peers = m_vms.liveInDataCentre(m_config.dataCentre).size();
    auto sends = static_cast<uint32_t>(2 * std::bit_width(peers) + 1);
    m_rumors.add(entry, sends);
    static constexpr uint32_t farSends = 3;
    bool staysNear = entry.key.kind == membership::GossipKind::HeavyClients;
    if (!staysNear && isRelay())
        m_farRumors.add(entry, farSends);
    apply(entry, context);
}

template<typename Policies>
void NodeCore<Policies>::apply(const membership::GossipEntry& entry, Context& context)
{
    switch (entry.key.kind) {
    case membership::GossipKind::Vm:
        applyVm(entry, context);
        break;
    case membership::GossipKind::Upstream:
        applyUpstream(std::get<route::UpstreamRecord>(entry.body), context);
        break;
    case membership::GossipKind::Verdict:
        applyVerdict(std::get<membership::VerdictRecord>(entry.body), context);
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

template<typename Policies>
void NodeCore<Policies>::applyVerdict(const membership::VerdictRecord& verdict, Context& context)
{
    m_blame.learn(verdict, context.now);
    if (verdict.isConvicted)
        return;
    for (const auto& death : verdict.deaths) {
        // A peer saw the upstream die. Nodes must agree on which are left, to keep suspects apart.
        auto pool = m_directory.poolOf(death.upstream);
        if (pool && deathOf(death.upstream) == death)
            withPool(*pool, [&](FairPool& target) { target.setDown(death.upstream); });
    }
}

template<typename Policies>
void NodeCore<Policies>::applyFloors()
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

template<typename Policies>
void NodeCore<Policies>::applyUpstream(const route::UpstreamRecord& record, Context& context)
{
    bool isNear = record.dataCentre == m_config.dataCentre;
    auto sharing = std::max<size_t>(1, m_vms.liveInDataCentre(record.dataCentre).size());
    m_directory.update(record);
    bool isNewPool = false;
    m_pools.with(std::hash<base::PoolName> {}(record.pool), [&](PoolShard& shard) {
        auto [slot, isNew] = shard.pools.try_emplace(record.pool, route::SubsetChooser(m_config.self));
        slot->second.upsert(record, isNear ? 0 : 1, static_cast<uint32_t>(sharing));
        isNewPool = isNew;
    });
    if (isNewPool)
        applyFloors();
    pump(record.pool, context);
}

template<typename Policies>
void NodeCore<Policies>::applyVm(const membership::GossipEntry& entry, Context& context)
{
    const auto& record = std::get<membership::VmRecord>(entry.body);
    auto ownState = m_isDraining ? membership::VmState::Leaving : membership::VmState::Live;
    bool isSelf = record.name == m_config.self;
    bool isForeign = entry.incarnation > m_incarnation || record.state != ownState;
    if (isSelf && isForeign) {
        // A peer took this VM for dead, or remembers an earlier start. Only a newer incarnation
        // overrides that.
        m_incarnation = entry.incarnation + 1;
        announceSelf(ownState, context);
        return;
    }
    m_vms.update(record);
}

template<typename Policies>
void NodeCore<Policies>::applyHeavyClients(const membership::HeavyClients& heavy)
{
    if (heavy.vm == m_config.self)
        return;
    // Each VM books the others' use in proportion to the share of the client's work that it sees.
    auto vms = std::max<size_t>(1, m_vms.liveInDataCentre(m_config.dataCentre).size());
    m_pools.forEach([&](PoolShard& shard) {
        for (auto& [name, pool] : shard.pools) {
            for (const auto& use : heavy.clients)
                pool.queue().charge(use.rank, use.client, use.cost / vms, use.weight);
        }
    });
}

template<typename Policies>
void NodeCore<Policies>::shareClientUse(Context& context)
{
    static constexpr size_t heaviestShared = 8;
    auto heaviest = m_use.takeHeaviest(heaviestShared);
    if (heaviest.empty())
        return;
    learn(membership::makeGossipEntry(membership::HeavyClients { m_config.self, std::move(heaviest) }, m_incarnation, ++m_useSequence), context);
}

} // namespace redwingseam::node
