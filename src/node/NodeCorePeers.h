#pragma once

#include "membership/GossipStoreImpl.h"
#include "membership/RendezvousHash.h"
#include "node/NodeCore.h"

// Messages between nodes: gossip, digests and heartbeats.
namespace redwingseam::node {

template<typename Policies>
peer::Digest NodeCore<Policies>::makeDigest(bool wantsReplyDigest)
{
    auto hashes = m_gossipStore.hashes();
    return { m_config.self, m_config.peerAddress, { hashes.begin(), hashes.end() }, wantsReplyDigest };
}

template<typename Policies>
void NodeCore<Policies>::send(const base::VmName& vm, peer::PeerMessage message, Context& context)
{
    if (auto address = m_vms.addressOf(vm))
        context.emit(peer::SendPeerMessage { *address, std::move(message) });
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
        mergeFact(entry, context);
}

template<typename Policies>
void NodeCore<Policies>::on(const peer::Digest& message, Context& context)
{
    // Keeps a message well under the transport's size limit. Further facts go into further
    // messages, and the next digest repairs a lost one.
    static constexpr size_t entriesPerMessage = 512;
    auto ownHashes = m_gossipStore.hashes();
    peer::Gossip reply { m_config.self, {} };
    for (size_t index = 0; index < std::min(ownHashes.size(), message.bucketHashes.size()); ++index) {
        if (ownHashes[index] == message.bucketHashes[index])
            continue;
        for (auto& entry : m_gossipStore.bucket(index))
            reply.entries.push_back(std::move(entry));
        if (reply.entries.size() < entriesPerMessage)
            continue;
        context.emit(peer::SendPeerMessage { message.replyAddress, reply });
        reply.entries.clear();
    }
    if (!reply.entries.empty())
        context.emit(peer::SendPeerMessage { message.replyAddress, std::move(reply) });
    if (message.wantsReplyDigest)
        context.emit(peer::SendPeerMessage { message.replyAddress, makeDigest(false) });
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
    auto remote = m_remoteRumors.take(entriesPerMessage);
    if (remote.empty())
        return;
    for (const auto& vm : remoteRelays(context))
        send(vm, peer::Gossip { m_config.self, remote }, context);
}

template<typename Policies>
bool NodeCore<Policies>::isRelay()
{
    auto chosen = membership::selectByRendezvousHash(m_vms.liveInDataCentre(m_config.dataCentre), "relay", relaysPerDataCentre);
    return chosen.size() < relaysPerDataCentre || std::find(chosen.begin(), chosen.end(), m_config.self) != chosen.end();
}

template<typename Policies>
std::vector<base::VmName> NodeCore<Policies>::remoteRelays(Context& context)
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
        mergeFact(membership::makeGossipEntry(*record, entry->incarnation), context);
    }
}

template<typename Policies>
void NodeCore<Policies>::sendDigests(Context& context)
{
    auto peers = randomPeers(1, context);
    if (isRelay()) {
        auto remote = remoteRelays(context);
        if (!remote.empty())
            peers.push_back(remote[context.random() % remote.size()]);
    }
    for (const auto& vm : peers)
        send(vm, makeDigest(true), context);
}

} // namespace redwingseam::node
