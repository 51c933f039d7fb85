#include "Benches.h"
#include "FigureReporter.h"
#include "fakes/Deployment.h"

#include <algorithm>

namespace redwingseam::bench {

using namespace std::chrono_literals;

// Measures the time from the platform's announcement that an upstream is leaving until the last VM stops
// sending it new work.
void benchLeaving(FigureReporter& figures)
{
    static constexpr double maxSeconds = 3;
    for (size_t nodes : { 9, 90 }) {
        fakes::ClusterOptions options { .seed = 56, .nodes = nodes, .dataCentres = 3 };
        fakes::Deployment<> deployment(options, 2);
        auto& cluster = deployment.cluster;
        cluster.runFor(10s);
        auto leaving = deployment.engines[0];
        cluster.upstreams()[leaving].record.state = route::UpstreamState::Leaving;
        cluster.publish(leaving);
        base::Duration lastNewWork {};
        uint64_t lastRequestId = 0;
        for (base::Duration elapsed {}; elapsed < 8s; elapsed += 50ms) {
            for (size_t node = 0; node < nodes; node += 3)
                cluster.call(node, fakes::generationRequest("p" + std::to_string(elapsed.count()) + "-" + std::to_string(node), 2));
            cluster.runFor(50ms);
            for (const auto& [key, attempt] : cluster.upstreams()[leaving].attempts) {
                if (key.request.value <= lastRequestId)
                    continue;
                lastRequestId = key.request.value;
                lastNewWork = elapsed + 50ms;
            }
        }
        figures.add(std::to_string(nodes) + "_nodes.leaving.new_work_after_s", static_cast<double>(lastNewWork.count()) / 1e6, "s", maxSeconds, BoundDirection::AtMost);
    }
}

} // namespace redwingseam::bench
