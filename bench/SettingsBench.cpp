#include "Benches.h"
#include "FigureReporter.h"
#include "Samples.h"
#include "fakes/Deployment.h"

#include <string>

namespace redwingseam::bench {

using namespace std::chrono_literals;

namespace {

    struct SettingsRun {
        Samples inForceSeconds;
        double reverts = 0;
        double bytesPerSecondPerNode = 0;
        double writesPerSecond = 0;
        double readsPerSecond = 0;
    };

    // Applies settings changes at the design rate of 19,000 a day and crashes one VM halfway.
    SettingsRun runChanges(size_t nodes, size_t dataCentres)
    {
        fakes::ClusterOptions options { .seed = 55, .nodes = nodes, .dataCentres = dataCentres, .countsBytes = true };
        fakes::Deployment<> deployment(options, 1);
        auto& cluster = deployment.cluster;
        cluster.runFor(20s);
        auto bytes = cluster.peerBytes();
        auto writes = cluster.store().writes();
        auto reads = cluster.store().calls() - writes + cluster.watchCalls();
        SettingsRun run;
        static constexpr size_t changes = 20;
        // 19,000 changes a day are one every 4.5 s.
        static constexpr base::Duration interval = 4500ms;
        static constexpr base::Duration pollInterval = 100ms;
        std::vector<int64_t> lastWeight(nodes, 0);
        for (size_t change = 0; change < changes; ++change) {
            auto weight = static_cast<int64_t>(200 + change);
            fakes::editBranch(cluster, "/clients/c", "{\"weight\":" + std::to_string(weight) + "}");
            std::vector<bool> isInForce(nodes, false);
            for (base::Duration elapsed {}; elapsed < interval; elapsed += pollInterval) {
                cluster.runFor(pollInterval);
                for (size_t node = 0; node < nodes; ++node) {
                    if (!cluster.isRunning(node))
                        continue;
                    auto seen = cluster.node(node).settings()->resolve("/clients/c", settings::Field::Weight).value;
                    run.reverts += seen < lastWeight[node] ? 1 : 0;
                    lastWeight[node] = seen;
                    if (isInForce[node] || seen < weight)
                        continue;
                    isInForce[node] = true;
                    run.inForceSeconds.add(static_cast<double>((elapsed + pollInterval).count()) / 1e6);
                }
            }
            for (size_t node = 0; node < nodes; ++node) {
                if (!isInForce[node] && cluster.isRunning(node))
                    run.inForceSeconds.add(static_cast<double>(interval.count()) / 1e6);
            }
            if (change == changes / 2)
                cluster.crashNode(nodes - 1);
        }
        auto seconds = static_cast<double>(changes) * static_cast<double>(interval.count()) / 1e6;
        run.bytesPerSecondPerNode = static_cast<double>(cluster.peerBytes() - bytes) / seconds / static_cast<double>(nodes);
        run.writesPerSecond = static_cast<double>(cluster.store().writes() - writes) / seconds;
        run.readsPerSecond = static_cast<double>(cluster.store().calls() - cluster.store().writes() + cluster.watchCalls() - reads) / seconds;
        return run;
    }

} // namespace

static void benchNodes(FigureReporter& figures, size_t nodes)
{
    static constexpr double maxSeconds = 18;
    static constexpr double maxBytesPerSecond = 8000;
    static constexpr double maxWritesPerSecond = 300;
    static constexpr double maxReadsPerSecond = 2000;
    auto run = runChanges(nodes, nodes == 9 ? 3 : 6);
    auto prefix = std::to_string(nodes) + "_nodes.";
    figures.add(prefix + "settings.in_force_s.p99", run.inForceSeconds.quantile(0.99), "s", maxSeconds, BoundDirection::AtMost);
    figures.addUnbounded(prefix + "settings.in_force_s.p50", run.inForceSeconds.quantile(0.5), "s");
    figures.add(prefix + "settings.reverts", run.reverts, "reverts", 0, BoundDirection::AtMost);
    figures.add(prefix + "control.bytes_per_s_per_node", run.bytesPerSecondPerNode, "bytes/s", maxBytesPerSecond, BoundDirection::AtMost);
    figures.add(prefix + "platform.writes_per_s", run.writesPerSecond, "writes/s", maxWritesPerSecond, BoundDirection::AtMost);
    figures.add(prefix + "platform.reads_per_s", run.readsPerSecond, "reads/s", maxReadsPerSecond, BoundDirection::AtMost);
}

void benchSettings9(FigureReporter& figures)
{
    benchNodes(figures, 9);
}

void benchSettings90(FigureReporter& figures)
{
    benchNodes(figures, 90);
}

void benchSettings330(FigureReporter& figures)
{
    benchNodes(figures, 330);
}

} // namespace redwingseam::bench
