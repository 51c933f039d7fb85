#pragma once

#include "fakes/PeerNode.h"
#include "replication/MessageCodec.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace redwingseam::fakes {

// Simulates the exchange between nodes in virtual time. Messages pass through the codec and arrive
// after `delay`, or later over a link with a limited rate, which all messages to a node share equally.
struct FakePeerCluster {
    struct MessageInTransit {
        base::Instant arrivesAt;
        std::string address;
        std::string bytes;
        size_t bytesToTransfer = 0;
    };

    std::vector<std::unique_ptr<PeerNode>> nodes;
    std::deque<MessageInTransit> messagesInTransit;
    std::set<std::string> stoppedNodes;
    // Nodes that answer, and send nothing by themselves.
    std::set<std::string> passiveNodes;
    // Nodes of the earlier release: they send state whenever it is newer, and never ask for full state.
    std::set<std::string> olderNodes;
    base::Instant now { std::chrono::seconds(100) };
    base::Duration delay = std::chrono::milliseconds(1);
    size_t bytesSent = 0;
    // Bytes per second of the links with a limited rate, by the address of the receiver.
    std::map<std::string, size_t> linkRates;
    // Messages to these addresses that are larger than the limit are lost.
    std::map<std::string, size_t> lossLimits;

    PeerNode& add(const std::string& name, const std::string& dataCentre)
    {
        nodes.push_back(std::make_unique<PeerNode>(name, dataCentre));
        return *nodes.back();
    }

    void shareNodeList()
    {
        std::vector<sync::NodeRecord> all;
        for (const auto& node : nodes)
            all.push_back(node->record);
        for (const auto& node : nodes)
            node->sync.setNodes(all);
    }

    void send(const replication::OutgoingMessages& outgoing)
    {
        for (const auto& item : outgoing) {
            if (isUnknownToOlderNodes(item.message))
                continue;
            auto bytes = replication::formatMessage(asSeenByOlderNodes(item), now);
            bytesSent += bytes.size();
            auto lossLimit = lossLimits.find(item.address);
            if (lossLimit != lossLimits.end() && bytes.size() > lossLimit->second)
                continue;
            auto toTransfer = linkRates.count(item.address) ? bytes.size() : 0;
            messagesInTransit.push_back({ now + delay, item.address, std::move(bytes), toTransfer });
        }
    }

    bool isUnknownToOlderNodes(const replication::Message& message) const
    {
        const auto* query = std::get_if<replication::StateQuery>(&message);
        return query && query->wantsFullState && olderNodes.count(query->from.name.text);
    }

    // A query without the fields that the earlier release lacks.
    replication::Message asSeenByOlderNodes(const replication::OutgoingMessage& item) const
    {
        auto message = item.message;
        auto* query = std::get_if<replication::StateQuery>(&message);
        if (query && (olderNodes.count(query->from.name.text) || olderNodes.count(item.address))) {
            query->wantsState = query->wantsState || olderNodes.count(query->from.name.text);
            query->wantsFullState = query->wantsState;
            query->acceptsCompression = false;
        }
        return message;
    }

    // Moves the bytes of one millisecond over the links with a limited rate.
    void transferBytes()
    {
        for (const auto& [address, rate] : linkRates) {
            std::vector<MessageInTransit*> sharing;
            for (auto& message : messagesInTransit) {
                if (message.address == address && message.bytesToTransfer)
                    sharing.push_back(&message);
            }
            for (auto* message : sharing)
                message->bytesToTransfer -= std::min(message->bytesToTransfer, rate / 1000 / sharing.size() + 1);
        }
    }

    bool hasArrived(const MessageInTransit& message) const { return !message.bytesToTransfer && message.arrivesAt <= now; }

    void deliverArrived()
    {
        auto next = [&] { return std::find_if(messagesInTransit.begin(), messagesInTransit.end(), [&](const auto& message) { return hasArrived(message); }); };
        for (auto found = next(); found != messagesInTransit.end(); found = next()) {
            auto message = std::move(*found);
            messagesInTransit.erase(found);
            deliver(message);
        }
    }

    void run(base::Duration duration)
    {
        auto end = now + duration;
        for (base::Instant nextTick = now; now < end; now += std::chrono::milliseconds(1)) {
            transferBytes();
            deliverArrived();
            if (now < nextTick)
                continue;
            nextTick += std::chrono::milliseconds(50);
            for (const auto& node : nodes) {
                if (!stoppedNodes.count(node->record.name.text) && !passiveNodes.count(node->record.name.text))
                    send(node->sync.tick(now));
            }
        }
    }

    void deliver(const MessageInTransit& message)
    {
        for (const auto& node : nodes) {
            if (node->record.peerAddress == message.address && !stoppedNodes.count(message.address))
                send(node->sync.handle(*replication::parseMessage(message.bytes, now), now));
        }
    }
};

} // namespace redwingseam::fakes
