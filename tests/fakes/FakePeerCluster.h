#pragma once

#include "fakes/PeerNode.h"
#include "peering/MessageCodec.h"

#include <deque>
#include <set>

namespace redwingseam::fakes {

// Nodes in virtual time; messages between them take a given time and pass through the codec.
struct FakePeerCluster {
    struct Flight {
        base::Instant arrives;
        std::string to;
        std::string bytes;
    };

    std::vector<std::unique_ptr<PeerNode>> nodes;
    std::deque<Flight> flights;
    std::set<std::string> silent;
    base::Instant now { std::chrono::seconds(100) };
    base::Duration delay = std::chrono::milliseconds(1);
    size_t bytesSent = 0;

    PeerNode& add(const std::string& name, const std::string& dataCentre)
    {
        nodes.push_back(std::make_unique<PeerNode>(name, dataCentre));
        return *nodes.back();
    }

    void introduce()
    {
        std::vector<sync::NodeRecord> all;
        for (const auto& node : nodes)
            all.push_back(node->record);
        for (const auto& node : nodes)
            node->sync.setNodes(all);
    }

    void post(const peering::OutgoingList& outgoing)
    {
        for (const auto& item : outgoing) {
            flights.push_back({ now + delay, item.address, peering::formatMessage(item.message, now) });
            bytesSent += flights.back().bytes.size();
        }
    }

    void run(base::Duration length)
    {
        auto end = now + length;
        for (base::Instant nextTick = now; now < end; now += std::chrono::milliseconds(1)) {
            while (!flights.empty() && flights.front().arrives <= now) {
                auto flight = flights.front();
                flights.pop_front();
                deliver(flight);
            }
            if (now < nextTick)
                continue;
            nextTick += std::chrono::milliseconds(50);
            for (const auto& node : nodes) {
                if (!silent.count(node->record.name.text))
                    post(node->sync.tick(now));
            }
        }
    }

    void deliver(const Flight& flight)
    {
        for (const auto& node : nodes) {
            if (node->record.peerAddress == flight.to && !silent.count(flight.to))
                post(node->sync.handle(*peering::parseMessage(flight.bytes, now), now));
        }
    }
};

} // namespace redwingseam::fakes
