#pragma once

#include "fakes/FakePeerCluster.h"
#include "fakes/FleetFixture.h"

#include <map>

namespace redwingseam::fakes {

// Several nodes that send requests to the same upstreams in virtual time. Requests with the deadly part crash their
// upstream, others complete. No two requests have the same fingerprint.
class DeadlyPartRun {
public:
    using Parts = std::vector<base::PromptPartHash>;

    static constexpr base::PromptPartHash sharedPart { 100 };
    static constexpr base::PromptPartHash deadlyPart { 200 };

    struct Result {
        base::ResultCode code = base::ResultCode::Ok;
        unsigned crashes = 0;
        bool isServed = false;
        base::Duration retryAfter {};
    };

    DeadlyPartRun(std::string path, unsigned upstreamCount)
        : m_path(std::move(path))
        , m_upstreamCount(upstreamCount)
    {
        for (const char* name : { "a1", "a2", "b1", "b2", "c1" })
            addNode(name);
        run(std::chrono::milliseconds(1000));
    }

    void addNode(const std::string& name)
    {
        cluster.add(name, std::string("dc-") + name[0]);
        cluster.shareNodeList();
        updateFleets();
    }

    void run(base::Duration duration)
    {
        cluster.run(duration);
        updateFleets();
    }

    // Sends a request until its exchange ends. An upstream takes 50 ms for a response, and the upstream that crashes is
    // back after `restartTime`.
    Result send(size_t node, const Parts& parts)
    {
        auto request = m_requests.makeRequest(m_path);
        request.promptParts = parts;
        request.fingerprint.value = 1000 + m_nextFingerprint++;
        request.arrivedAt = cluster.now;
        auto& peer = *cluster.nodes[node];
        forward::Exchange exchange(request, peer.fleet, m_queue, peer.crashes, peer.origins, m_policy);
        Result result;
        auto step = exchange.begin(cluster.now, m_nextFingerprint);
        while (step.kind == forward::StepKind::Send) {
            auto target = step.send.placement.target;
            run(std::chrono::milliseconds(50));
            bool isDown = cluster.now < m_downUntil[target.id];
            bool isDeadly = std::find(parts.begin(), parts.end(), deadlyPart) != parts.end() && isPartDeadly;
            if (!isDown && !isDeadly) {
                result.isServed = true;
                exchange.recordEvent(1, cluster.now);
                exchange.attemptEnded(forward::AttemptOutcome::Completed, cluster.now, 1);
                return result;
            }
            if (!isDown) {
                ++result.crashes;
                m_downUntil[target.id] = cluster.now + restartTime;
            }
            step = exchange.attemptEnded(isDown ? forward::AttemptOutcome::NotConnected : forward::AttemptOutcome::LostDuringResponse, cluster.now, m_nextFingerprint);
        }
        result.code = step.code;
        result.retryAfter = step.retryAfter;
        return result;
    }

    FakePeerCluster cluster;
    bool isPartDeadly = true;
    base::Duration restartTime = std::chrono::milliseconds(4000);

private:
    void updateFleets()
    {
        std::vector<fleet::UpstreamInstance> upstreams;
        for (unsigned i = 0; i < m_upstreamCount; ++i) {
            for (const char* service : { "engines", "desk" })
                upstreams.push_back({ { service + std::to_string(i) }, { service }, "127.0.0.1:" + std::to_string(8000 + i), { std::string("dc-") + "abc"[i % 3] }, 1, 6, false });
        }
        for (const auto& node : cluster.nodes)
            node->fleet.update(upstreams, cluster.now, {});
    }

    std::string m_path;
    unsigned m_upstreamCount;
    FleetFixture m_requests;
    forward::PlacementQueue m_queue;
    forward::ExchangePolicy m_policy;
    std::map<base::UpstreamName, base::Instant> m_downUntil;
    uint64_t m_nextFingerprint = 1;
};

} // namespace redwingseam::fakes
