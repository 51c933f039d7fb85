#pragma once

#include "fakes/PeerNode.h"
#include "replication/MessageCodec.h"

#include <deque>
#include <set>

namespace redwingseam::fakes {

// Simulates the exchange between nodes in virtual time. Messages pass through the codec and arrive
// after `delay`.
struct FakePeerCluster {
    struct MessageInTransit {
        base::Instant arrivesAt;
        std::string address;
        std::string bytes;
    };

    std::vector<std::unique_ptr<PeerNode>> nodes;
    std::deque<MessageInTransit> messagesInTransit;
    std::set<std::string> stoppedNodes;
    base::Instant now { std::chrono::seconds(100) };
    base::Duration delay = std::chrono::milliseconds(1);
    size_t bytesSent = 0;

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
            messagesInTransit.push_back({ now + delay, item.address, replication::formatMessage(item.message, now) });
            bytesSent += messagesInTransit.back().bytes.size();
        }
    }

    void run(base::Duration duration)
    {
        auto end = now + duration;
        for (base::Instant nextTick = now; now < end; now += std::chrono::milliseconds(1)) {
            while (!messagesInTransit.empty() && messagesInTransit.front().arrivesAt <= now) {
                auto message = messagesInTransit.front();
                messagesInTransit.pop_front();
                deliver(message);
            }
            if (now < nextTick)
                continue;
            nextTick += std::chrono::milliseconds(50);
            for (const auto& node : nodes) {
                if (!stoppedNodes.count(node->record.name.text))
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
