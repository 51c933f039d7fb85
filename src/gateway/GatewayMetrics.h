#pragma once

#include "forward/AttemptOutcome.h"
#include "gateway/LatencyKind.h"
#include "gateway/SessionOutcome.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/base/ResultCode.h"
#include "redwingseam/base/Sharded.h"
#include "redwingseam/manifest/RouteKind.h"

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <string>

namespace redwingseam::gateway {

// Counters and histograms of a gateway. Thread-safe: counters are atomic and histograms are sharded.
class GatewayMetrics {
public:
    void countOutcome(manifest::RouteKind, SessionOutcome);
    void countAttempt(forward::AttemptOutcome);
    void countProbe(bool isReachable);
    // Counts a request that was turned away before it had arrived.
    void countRejection(base::ResultCode);
    void countConnection(bool isNew);
    void countStoreCall(bool isAnswered);
    void record(LatencyKind, base::Duration);

    // Returns all metrics in the Prometheus text format.
    std::string text();

private:
    // Bins are a quarter of an octave wide, from 0.5 ms to about 65 s.
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<uint64_t>>;
    static constexpr size_t shardCount = 4;

    struct Histograms {
        std::array<Histogram, latencyKindCount> byKind { makeHistogram(), makeHistogram(), makeHistogram(), makeHistogram() };
    };

    static Histogram makeHistogram();
    void appendHistogram(std::string&, LatencyKind);

    std::array<std::array<std::atomic<uint64_t>, sessionOutcomeCount>, manifest::routeKindCount> m_outcomes {};
    std::array<std::atomic<uint64_t>, forward::attemptOutcomeCount> m_attempts {};
    std::array<std::atomic<uint64_t>, base::EnumNames<base::ResultCode>::entries.size()> m_rejections {};
    std::array<std::atomic<uint64_t>, 2> m_probes {};
    std::array<std::atomic<uint64_t>, 2> m_connections {};
    std::array<std::atomic<uint64_t>, 2> m_storeCalls {};
    base::Sharded<Histograms, shardCount> m_histograms;
};

} // namespace redwingseam::gateway
