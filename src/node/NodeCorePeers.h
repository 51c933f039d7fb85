#pragma once

#include "membership/GossipStoreImpl.h"
#include "membership/RendezvousHash.h"
#include "node/NodeCore.h"

// Sends and handles the messages between nodes: gossip, digests and heartbeats.
namespace redwingseam::node {

template<typename Rules>
peer::Digest NodeCore<Rules>::makeDigest(bool wantsReplyDigest)
{
    auto hashes = m_gossipStore.hashes();
    return { m_config.self, m_config.peerAddress, { hashes.begin(), hashes.end() }, wantsReplyDigest };
}

template<typename Rules>
void NodeCore<Rules>::send(const base::VmName& vm, peer::PeerMessage message, CallContext& context)
{
    if (auto address = m_vmDirectory.addressOf(vm))
        context.emit(peer::SendPeerMessage { *address, std::move(message) });
}

template<typename Rules>
void NodeCore<Rules>::handle(const peer::PeerMessage& message, CallContext& context)
{
    std::visit([&](const auto& alternative) { handleMessage(alternative, context); }, message);
}

template<typename Rules>
void NodeCore<Rules>::handleMessage(const peer::Heartbeat& message, CallContext& context)
{
    m_heartbeatMonitor.onHeartbeat(message.from, context.now);
}

template<typename Rules>
void NodeCore<Rules>::handleMessage(const peer::Gossip& message, CallContext& context)
{
    m_heartbeatMonitor.onHeartbeat(message.from, context.now);
    for (const auto& entry : message.entries)
        mergeGossipEntry(entry, context);
}

template<typename Rules>
void NodeCore<Rules>::handleMessage(const peer::Digest& message, CallContext& context)
{
    // Keeps a message well under the transport's size limit. Further entries go into further messages, and the
    // next digest repairs a lost one.
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

template<typename Rules>
std::vector<base::VmName> NodeCore<Rules>::randomPeers(size_t count, CallContext& context)
{
    auto peers = m_vmDirectory.liveInDataCentre(m_config.dataCentre);
    std::erase(peers, m_config.self);
    std::shuffle(peers.begin(), peers.end(), context.random);
    peers.resize(std::min(count, peers.size()));
    return peers;
}

template<typename Rules>
void NodeCore<Rules>::gossip(CallContext& context)
{
    static constexpr size_t fanout = 2;
    static constexpr size_t entriesPerMessage = 64;
    for (const auto& vm : randomPeers(fanout, context)) {
        auto entries = m_rumors.take(entriesPerMessage);
        if (entries.empty())
            break;
        send(vm, peer::Gossip { m_config.self, std::move(entries) }, context);
    }
    if (!isRemoteGossiper())
        return;
    auto remote = m_remoteRumors.take(entriesPerMessage);
    if (remote.empty())
        return;
    for (const auto& vm : remoteGossipTargets(context))
        send(vm, peer::Gossip { m_config.self, remote }, context);
}

template<typename Rules>
bool NodeCore<Rules>::isRemoteGossiper()
{
    auto chosen = membership::selectByRendezvousHash(m_vmDirectory.liveInDataCentre(m_config.dataCentre), "relay", remoteGossipersPerDataCentre);
    return chosen.size() < remoteGossipersPerDataCentre || std::find(chosen.begin(), chosen.end(), m_config.self) != chosen.end();
}

template<typename Rules>
std::vector<base::VmName> NodeCore<Rules>::remoteGossipTargets(CallContext& context)
{
    std::vector<base::VmName> result;
    for (const auto& dataCentre : m_vmDirectory.otherDataCentres()) {
        auto chosen = membership::selectByRendezvousHash(m_vmDirectory.liveInDataCentre(dataCentre), "relay", remoteGossipersPerDataCentre);
        if (!chosen.empty())
            result.push_back(chosen[context.random() % chosen.size()]);
    }
    return result;
}

template<typename Rules>
void NodeCore<Rules>::sendHeartbeats(CallContext& context)
{
    auto ring = m_vmDirectory.liveInDataCentre(m_config.dataCentre);
    for (const auto& vm : m_heartbeatMonitor.heartbeatTargets(ring))
        send(vm, peer::Heartbeat { m_config.self }, context);
    for (const auto& vm : m_heartbeatMonitor.findTimedOut(ring, context.now)) {
        auto entry = m_gossipStore.find({ membership::GossipKind::Vm, vm.text });
        auto* record = entry ? std::get_if<membership::VmRecord>(&entry->body) : nullptr;
        if (!record)
            continue;
        record->state = membership::VmState::Gone;
        mergeGossipEntry(membership::makeGossipEntry(*record, entry->incarnation), context);
    }
}

template<typename Rules>
void NodeCore<Rules>::sendDigests(CallContext& context)
{
    auto peers = randomPeers(1, context);
    if (isRemoteGossiper()) {
        auto remote = remoteGossipTargets(context);
        if (!remote.empty())
            peers.push_back(remote[context.random() % remote.size()]);
    }
    for (const auto& vm : peers)
        send(vm, makeDigest(true), context);
}

} // namespace redwingseam::node
