#pragma once

#include "membership/FactStoreImpl.h"
#include "node/NodeCore.h"
#include "redwingseam/membership/FactFactory.h"

#include <bit>

// What follows from facts about VMs, upstreams, requests, clients and branches.
namespace redwingseam::node {

template<typename Policies>
void NodeCore<Policies>::learn(const membership::Fact& fact, Context& context)
{
    if (!m_facts.merge(fact))
        return;
    // Enough sends for a rumor to reach everyone in the data centre; digests catch what it misses.
    auto peers = m_vms.liveInDataCentre(m_config.dataCentre).size();
    auto sends = static_cast<uint32_t>(2 * std::bit_width(peers) + 1);
    m_rumors.add(fact, sends);
    static constexpr uint32_t farSends = 3;
    bool staysNear = fact.key.kind == membership::FactKind::HeavyClients;
    if (!staysNear && isRelay())
        m_farRumors.add(fact, farSends);
    apply(fact, context);
}

template<typename Policies>
void NodeCore<Policies>::apply(const membership::Fact& fact, Context& context)
{
    switch (fact.key.kind) {
    case membership::FactKind::Vm:
        applyVm(fact, context);
        break;
    case membership::FactKind::Upstream:
        applyUpstream(std::get<route::UpstreamRecord>(fact.body), context);
        break;
    case membership::FactKind::Verdict:
        applyCrashReport(std::get<membership::CrashReport>(fact.body), context);
        break;
    case membership::FactKind::HeavyClients:
        applyHeavyClients(std::get<membership::HeavyClients>(fact.body));
        break;
    case membership::FactKind::Branch:
        if (m_settings.adopt(std::get<settings::Branch>(fact.body)))
            applyFloors();
        break;
    }
}

template<typename Policies>
void NodeCore<Policies>::applyCrashReport(const membership::CrashReport& report, Context& context)
{
    m_crashAttribution.applyReport(report, context.now);
    if (report.isQuarantined)
        return;
    for (const auto& crash : report.crashes) {
        // A peer saw the upstream die. Nodes must agree on which are left, to keep suspects apart.
        auto pool = m_directory.poolOf(crash.upstream);
        if (pool && crashIdOf(crash.upstream) == crash)
            withPool(*pool, [&](FairPool& target) { target.setDown(crash.upstream); });
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
void NodeCore<Policies>::applyVm(const membership::Fact& fact, Context& context)
{
    const auto& record = std::get<membership::VmRecord>(fact.body);
    auto ownState = m_isDraining ? membership::VmState::Leaving : membership::VmState::Live;
    bool isSelf = record.name == m_config.self;
    bool isForeign = fact.incarnation > m_incarnation || record.state != ownState;
    if (isSelf && isForeign) {
        // A peer took this VM for dead, or remembers an earlier start. Only a newer incarnation
        // overrides that.
        m_incarnation = fact.incarnation + 1;
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
    learn(membership::makeFact(membership::HeavyClients { m_config.self, std::move(heaviest) }, m_incarnation, ++m_useSequence), context);
}

} // namespace redwingseam::node
