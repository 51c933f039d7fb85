#include "Benches.h"
#include "FigureReporter.h"
#include "Samples.h"
#include "fakes/FaultSchedule.h"

namespace redwingseam::bench {

using namespace std::chrono_literals;

namespace {

    struct BookingRun {
        double writesPerThousand = 0;
        double readsPerThousand = 0;
        Samples latency;
    };

    // Sends bookings at a steady rate to nine VMs in three data centres.
    BookingRun runSteady(size_t bookings, base::Duration interval)
    {
        fakes::ClusterOptions options { .seed = 53, .nodes = 9, .dataCentres = 3 };
        fakes::Deployment<> deployment(options);
        auto& cluster = deployment.cluster;
        auto writes = cluster.store().writes();
        auto calls = cluster.store().calls();
        for (size_t i = 0; i < bookings; ++i) {
            cluster.call(i % 9, fakes::bookingRequest("key-" + std::to_string(i)));
            cluster.runFor(interval);
        }
        cluster.runFor(10s);
        BookingRun run;
        auto thousandBookings = static_cast<double>(bookings) / 1000;
        run.writesPerThousand = static_cast<double>(cluster.store().writes() - writes) / thousandBookings;
        run.readsPerThousand = static_cast<double>(cluster.store().calls() - calls) / thousandBookings - run.writesPerThousand;
        for (const auto& caller : cluster.callers())
            run.latency.add(static_cast<double>((caller.endedAt - caller.startedAt).count()) / 1000);
        return run;
    }

    // Sends each idempotency key through three VMs at once under every kind of fault, and counts the keys
    // that were executed more than once.
    double countDuplicates()
    {
        static constexpr uint64_t seedCount = 40;
        static constexpr size_t rounds = 25;
        double duplicates = 0;
        for (uint64_t seed = 1; seed <= seedCount; ++seed) {
            fakes::ClusterOptions options { .seed = seed, .nodes = 6, .dataCentres = 3, .lostMessagesPermille = 50 };
            fakes::Deployment<> deployment(options);
            auto& cluster = deployment.cluster;
            cluster.setServiceReplyLoss(50);
            for (size_t round = 0; round < rounds; ++round) {
                for (size_t copy = 0; copy < 3; ++copy)
                    cluster.call((round + copy) % 6, fakes::bookingRequest("key-" + std::to_string(round)));
                cluster.runFor(300ms);
                fakes::toggleFault(deployment, options, static_cast<uint32_t>(cluster.random().next()));
            }
            fakes::clearFaults(deployment, options);
            cluster.runFor(30s);
            for (const auto& [key, executions] : cluster.serviceExecutions())
                duplicates += executions > 1 ? 1 : 0;
        }
        return duplicates;
    }

} // namespace

void benchClaims(FigureReporter& figures)
{
    auto slow = runSteady(500, 50ms);
    figures.addUnbounded("claims.at_20_per_s.platform_writes_per_1000", slow.writesPerThousand, "writes");
    figures.addUnbounded("claims.at_20_per_s.latency_ms.p95", slow.latency.quantile(0.95), "ms");
    auto fast = runSteady(4000, 2ms);
    // The bound is the cost without batching: two writes for each call, its claim and its outcome.
    figures.add("claims.platform_writes_per_1000", fast.writesPerThousand, "writes", 2000, BoundDirection::AtMost);
    figures.addUnbounded("claims.platform_reads_per_1000", fast.readsPerThousand, "reads");
    figures.addUnbounded("claims.at_500_per_s.latency_ms.p95", fast.latency.quantile(0.95), "ms");
    figures.add("claims.duplicates", countDuplicates(), "keys", 0, BoundDirection::AtMost);
}

} // namespace redwingseam::bench
