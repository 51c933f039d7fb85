#pragma once

#include "redwingseam/base/Instant.h"
#include "redwingseam/base/Rank.h"
#include "redwingseam/base/ResultCode.h"
#include "redwingseam/report/BurnRateReport.h"
#include "redwingseam/report/Counters.h"
#include "redwingseam/report/LatencySummary.h"
#include "redwingseam/settings/RequestSettings.h"

#include <array>
#include <atomic>
#include <memory>

namespace redwingseam::report {

// Counts how often the node's requests meet and miss their service-level objectives. Thread-safe: each
// thread counts in the shard that its handle selects, and reports sum up the shards.
class SloRecorder {
public:
    SloRecorder();
    ~SloRecorder();

    void countRequest(base::Rank);
    // Also records a miss of the objective of a complete answer; the result code determines the cause.
    void countRefusal(const settings::RequestSettings&, base::ResultCode, base::Instant now);
    void countPreemption();
    void countSuspicion();
    void countUpstreamLoss();
    // Records the time from the arrival of the request to its first token.
    void recordFirstToken(const settings::RequestSettings&, base::Duration elapsed, bool hadUpstreamLoss, base::Instant now);
    // Records the time since the last token was sent to the caller. After an upstream loss, a gap above the suspicion
    // floor counts against the resume objective.
    void recordGap(const settings::RequestSettings&, base::Duration gap, bool hadUpstreamLoss, base::Instant now);
    // Counts a finished request and records that it met the objective of a complete answer.
    void recordFinish(const settings::RequestSettings&, base::Instant now);

    BurnRateReport burnRates(base::Instant now);
    Counters counters();
    LatencySummary latency(base::Rank, Objective);

private:
    struct Shards;

    void record(const settings::RequestSettings&, Objective, base::Duration elapsed, bool isMet, MissCause, base::Instant now);

    std::unique_ptr<Shards> m_shards;
    std::array<std::array<std::atomic<int64_t>, objectiveCount>, base::rankCount> m_objectivePermille {};
};

} // namespace redwingseam::report
