#pragma once

#include "membership/GossipStoreImpl.h"
#include "membership/RendezvousHash.h"
#include "node/NodeCore.h"

// Messages between the nodes.
namespace redwingseam::node {

template<typename Policies>
peer::Digest NodeCore<Policies>::makeDigest(bool wantsDigest)
{
    auto hashes = m_gossipStore.hashes();
    return { m_config.self, m_config.peerAddress, { hashes.begin(), hashes.end() }, wantsDigest };
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
    for (const auto& entry : message.entries)
        learn(entry, context);
}

template<typename Policies>
void NodeCore<Policies>::on(const peer::Digest& message, Context& context)
{
    // Keeps a message well under the transport's limit; the next digest brings the rest.
    static constexpr size_t entriesPerMessage = 512;
    auto own = m_gossipStore.hashes();
    peer::Gossip answer { m_config.self, {} };
    for (size_t index = 0; index < std::min(own.size(), message.buckets.size()); ++index) {
        if (own[index] == message.buckets[index])
            continue;
        for (auto& entry : m_gossipStore.bucket(index))
            answer.entries.push_back(std::move(entry));
        if (answer.entries.size() < entriesPerMessage)
            continue;
        context.emit(peer::PeerSend { message.replyAddress, answer });
        answer.entries.clear();
    }
    if (!answer.entries.empty())
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
    static constexpr size_t entriesPerMessage = 64;
    for (const auto& vm : randomPeers(fanout, context)) {
        auto entries = m_rumors.take(entriesPerMessage);
        if (entries.empty())
            break;
        send(vm, peer::Gossip { m_config.self, std::move(entries) }, context);
    }
    if (!isRelay())
        return;
    auto far = m_farRumors.take(entriesPerMessage);
    if (far.empty())
        return;
    for (const auto& vm : farRelays(context))
        send(vm, peer::Gossip { m_config.self, far }, context);
}

template<typename Policies>
bool NodeCore<Policies>::isRelay()
{
    auto chosen = membership::selectByRendezvousHash(m_vms.liveInDataCentre(m_config.dataCentre), "relay", relaysPerDataCentre);
    return chosen.size() < relaysPerDataCentre || std::find(chosen.begin(), chosen.end(), m_config.self) != chosen.end();
}

template<typename Policies>
std::vector<base::VmName> NodeCore<Policies>::farRelays(Context& context)
{
    std::vector<base::VmName> result;
    for (const auto& dataCentre : m_vms.otherDataCentres()) {
        auto chosen = membership::selectByRendezvousHash(m_vms.liveInDataCentre(dataCentre), "relay", relaysPerDataCentre);
        if (!chosen.empty())
            result.push_back(chosen[context.random() % chosen.size()]);
    }
    return result;
}

template<typename Policies>
void NodeCore<Policies>::sendHeartbeats(Context& context)
{
    auto ring = m_vms.liveInDataCentre(m_config.dataCentre);
    for (const auto& vm : m_monitor.heartbeatTargets(ring))
        send(vm, peer::Heartbeat { m_config.self }, context);
    for (const auto& vm : m_monitor.findTimedOut(ring, context.now)) {
        auto entry = m_gossipStore.find({ membership::GossipKind::Vm, vm.text });
        auto* record = entry ? std::get_if<membership::VmRecord>(&entry->body) : nullptr;
        if (!record)
            continue;
        record->state = membership::VmState::Gone;
        learn(membership::makeGossipEntry(*record, entry->incarnation), context);
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

} // namespace redwingseam::node
