#pragma once

#include "fakes/FakePeerCluster.h"
#include "fakes/FleetFixture.h"

namespace redwingseam::fakes {

// Several nodes to which clients send the same idempotent request again and again, in virtual time.
class RepeatedRequestRun {
public:
    static constexpr base::Fingerprint fingerprint { 9 };

    struct Result {
        base::ResultCode code = base::ResultCode::Ok;
        unsigned sends = 0;
        bool isServed = false;
        base::Duration retryAfter {};
    };

    RepeatedRequestRun()
    {
        for (const char* name : { "a1", "a2", "b1", "b2", "c1" })
            cluster.add(name, std::string("dc-") + name[0]);
        cluster.shareNodeList();
        run(std::chrono::milliseconds(1000));
    }

    void run(base::Duration duration)
    {
        cluster.run(duration);
        std::vector<fleet::UpstreamInstance> upstreams;
        for (unsigned i = 0; i < 60; ++i)
            upstreams.push_back({ { "desk" + std::to_string(i) }, { "desk" }, "127.0.0.1:" + std::to_string(8000 + i), { std::string("dc-") + "abc"[i % 3] }, 1, 6, false });
        for (const auto& node : cluster.nodes)
            node->fleet.update(upstreams, cluster.now, {});
    }

    // Sends the request until its exchange ends; the first `losses` attempts end without a response, which takes 20 ms.
    Result send(size_t node, unsigned losses)
    {
        auto request = m_requests.makeRequest("/read/x");
        request.fingerprint = fingerprint;
        request.arrivedAt = cluster.now;
        auto& peer = *cluster.nodes[node];
        forward::Exchange exchange(request, peer.fleet, m_queue, peer.crashes, peer.origins, m_policy);
        Result result;
        auto step = exchange.begin(cluster.now, ++m_random);
        while (step.kind == forward::StepKind::Send) {
            run(std::chrono::milliseconds(20));
            bool isLost = result.sends++ < losses;
            step = exchange.attemptEnded(isLost ? forward::AttemptOutcome::LostBeforeResponse : forward::AttemptOutcome::Completed, cluster.now, ++m_random);
        }
        result.isServed = step.kind == forward::StepKind::Deliver;
        result.code = step.code;
        result.retryAfter = step.retryAfter;
        return result;
    }

    bool isQuarantined(size_t node) { return cluster.nodes[node]->crashes.requests.isQuarantined(fingerprint, cluster.now); }
    size_t quarantinedNodes()
    {
        size_t count = 0;
        for (size_t i = 0; i < cluster.nodes.size(); ++i)
            count += isQuarantined(i);
        return count;
    }

    FakePeerCluster cluster;

private:
    FleetFixture m_requests;
    forward::PlacementQueue m_queue;
    forward::ExchangePolicy m_policy;
    uint64_t m_random = 0;
};

} // namespace redwingseam::fakes
