#pragma once

#include "membership/FactStoreImpl.h"
#include "membership/Rendezvous.h"
#include "node/NodeCore.h"
#include "redwingseam/membership/FactFactory.h"

#include <bit>

// Facts that the nodes share, and the messages that carry them.
namespace redwingseam::node {

template<typename Policies>
NodeCore<Policies>::NodeCore(NodeConfig config)
    : m_config(std::move(config))
    , m_incarnation(m_config.incarnation)
    , m_vms(m_config.self, m_config.dataCentre)
    , m_monitor(m_config.self, std::chrono::seconds(4))
{
}

template<typename Policies>
void NodeCore<Policies>::start(Context& context)
{
    for (const auto& seed : m_config.seeds) {
        // Incarnation 0: whatever a seed says of itself goes before the settings file.
        if (seed.name != m_config.self)
            learn(membership::makeFact(seed, 0), context);
    }
    announceSelf(membership::VmState::Live, context);
    // A few answers are enough; asking everyone would make a storm when a whole region starts.
    static constexpr size_t askedAtStart = 3;
    auto peers = randomPeers(askedAtStart, context);
    for (const auto& vm : farRelays(context)) {
        if (peers.size() < askedAtStart)
            peers.push_back(vm);
    }
    for (const auto& vm : peers)
        send(vm, makeDigest(true), context);
    chooseWatches(context);
}

template<typename Policies>
peer::Digest NodeCore<Policies>::makeDigest(bool wantsDigest)
{
    auto hashes = m_facts.hashes();
    return { m_config.self, m_config.peerAddress, { hashes.begin(), hashes.end() }, wantsDigest };
}

template<typename Policies>
void NodeCore<Policies>::announceSelf(membership::VmState state, Context& context)
{
    learn(membership::makeFact(membership::VmRecord { m_config.self, m_config.dataCentre, m_config.peerAddress, state }, m_incarnation), context);
}

template<typename Policies>
void NodeCore<Policies>::beginDrain(Context& context)
{
    m_isDraining = true;
    announceSelf(membership::VmState::Leaving, context);
    gossip(context);
}

template<typename Policies>
bool NodeCore<Policies>::isDrained()
{
    size_t open = 0;
    m_requests.forEach([&](RequestMap& requests) { open += requests.size(); });
    return !open && !m_claims.pending();
}

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
        applyVerdict(std::get<membership::VerdictRecord>(fact.body), context);
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

template<typename Policies>
void NodeCore<Policies>::send(const base::VmName& vm, peer::PeerMessage message, Context& context)
{
    if (auto address = m_vms.addressOf(vm))
        context.emit(peer::PeerSend { *address, std::move(message) });
}

template<typename Policies>
void NodeCore<Policies>::handle(const peer::PeerMessage& message, Context& context)
{
    std::visit([&](const auto& alternative) { on(alternative, context); }, message);
}

template<typename Policies>
void NodeCore<Policies>::on(const peer::Heartbeat& message, Context& context)
{
    m_monitor.onHeartbeat(message.from, context.now);
}

template<typename Policies>
void NodeCore<Policies>::on(const peer::Gossip& message, Context& context)
{
    m_monitor.onHeartbeat(message.from, context.now);
    for (const auto& fact : message.facts)
        learn(fact, context);
}

template<typename Policies>
void NodeCore<Policies>::on(const peer::Digest& message, Context& context)
{
    // Keeps a message well under the transport's limit; the next digest brings the rest.
    static constexpr size_t factsPerMessage = 512;
    auto own = m_facts.hashes();
    peer::Gossip answer { m_config.self, {} };
    for (size_t index = 0; index < std::min(own.size(), message.buckets.size()); ++index) {
        if (own[index] == message.buckets[index])
            continue;
        for (auto& fact : m_facts.bucket(index))
            answer.facts.push_back(std::move(fact));
        if (answer.facts.size() < factsPerMessage)
            continue;
        context.emit(peer::PeerSend { message.replyAddress, answer });
        answer.facts.clear();
    }
    if (!answer.facts.empty())
        context.emit(peer::PeerSend { message.replyAddress, std::move(answer) });
    if (message.wantsDigest)
        context.emit(peer::PeerSend { message.replyAddress, makeDigest(false) });
}

template<typename Policies>
std::vector<base::VmName> NodeCore<Policies>::randomPeers(size_t count, Context& context)
{
    auto peers = m_vms.liveInDataCentre(m_config.dataCentre);
    std::erase(peers, m_config.self);
    std::shuffle(peers.begin(), peers.end(), context.random);
    peers.resize(std::min(count, peers.size()));
    return peers;
}

template<typename Policies>
void NodeCore<Policies>::gossip(Context& context)
{
    static constexpr size_t fanout = 2;
    static constexpr size_t factsPerMessage = 64;
    for (const auto& vm : randomPeers(fanout, context)) {
        auto facts = m_rumors.take(factsPerMessage);
        if (facts.empty())
            break;
        send(vm, peer::Gossip { m_config.self, std::move(facts) }, context);
    }
    if (!isRelay())
        return;
    auto far = m_farRumors.take(factsPerMessage);
    if (far.empty())
        return;
    for (const auto& vm : farRelays(context))
        send(vm, peer::Gossip { m_config.self, far }, context);
}

template<typename Policies>
bool NodeCore<Policies>::isRelay()
{
    auto chosen = membership::rendezvous(m_vms.liveInDataCentre(m_config.dataCentre), "relay", relaysPerDataCentre);
    return chosen.size() < relaysPerDataCentre || std::find(chosen.begin(), chosen.end(), m_config.self) != chosen.end();
}

template<typename Policies>
std::vector<base::VmName> NodeCore<Policies>::farRelays(Context& context)
{
    std::vector<base::VmName> result;
    for (const auto& dataCentre : m_vms.otherDataCentres()) {
        auto chosen = membership::rendezvous(m_vms.liveInDataCentre(dataCentre), "relay", relaysPerDataCentre);
        if (!chosen.empty())
            result.push_back(chosen[context.random() % chosen.size()]);
    }
    return result;
}

template<typename Policies>
void NodeCore<Policies>::sendHeartbeats(Context& context)
{
    auto ring = m_vms.liveInDataCentre(m_config.dataCentre);
    for (const auto& vm : m_monitor.receivers(ring))
        send(vm, peer::Heartbeat { m_config.self }, context);
    for (const auto& vm : m_monitor.silent(ring, context.now)) {
        auto fact = m_facts.find({ membership::FactKind::Vm, vm.text });
        auto* record = fact ? std::get_if<membership::VmRecord>(&fact->body) : nullptr;
        if (!record)
            continue;
        record->state = membership::VmState::Gone;
        learn(membership::makeFact(*record, fact->incarnation), context);
    }
}

template<typename Policies>
void NodeCore<Policies>::compareWithPeer(Context& context)
{
    auto peers = randomPeers(1, context);
    if (isRelay()) {
        auto far = farRelays(context);
        if (!far.empty())
            peers.push_back(far[context.random() % far.size()]);
    }
    for (const auto& vm : peers)
        send(vm, makeDigest(true), context);
}

template<typename Policies>
NodeStatus NodeCore<Policies>::status(base::Instant now)
{
    static constexpr base::Duration platformPatience = std::chrono::seconds(10);
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
    status.vmsLive = m_vms.live().size();
    status.claimsPending = m_claims.pending();
    status.facts = m_facts.size();
    status.isDraining = m_isDraining;
    auto silentSince = m_platformSilentSince.load();
    status.isPlatformReachable = !silentSince || now.time_since_epoch().count() - silentSince < platformPatience.count();
    status.dataCentresSeen = m_vms.otherDataCentres();
    return status;
}

template<typename Policies>
std::vector<route::UpstreamRecord> NodeCore<Policies>::upstreams()
{
    std::vector<route::UpstreamRecord> records;
    for (const auto& fact : m_facts.all(membership::FactKind::Upstream))
        records.push_back(std::get<route::UpstreamRecord>(fact.body));
    return records;
}

} // namespace redwingseam::node
