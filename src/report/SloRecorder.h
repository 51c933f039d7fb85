#pragma once

#include "redwingseam/base/Instant.h"
#include "redwingseam/base/Rank.h"
#include "redwingseam/base/ResultCode.h"
#include "redwingseam/report/BurnRateReport.h"
#include "redwingseam/report/Counters.h"
#include "redwingseam/report/LatencySummary.h"
#include "redwingseam/settings/Policy.h"

#include <array>
#include <atomic>
#include <memory>

namespace redwingseam::report {

// Counts how the node's requests fare against their objectives. Thread-safe; a thread counts in a
// shard of its own choosing, and reports add the shards up.
class SloRecorder {
public:
    SloRecorder();
    ~SloRecorder();

    void countRequest(base::Rank);
    void countRefusal(const settings::Policy&, base::ResultCode, base::Instant now);
    void countPreemption();
    void countSuspicion();
    void countUpstreamLoss();
    void recordFirstToken(const settings::Policy&, base::Duration elapsed, bool hadUpstreamLoss, base::Instant now);
    // Time since the caller was last sent a token. After a loss it is held against the resume objective.
    void recordGap(const settings::Policy&, base::Duration gap, bool hadUpstreamLoss, base::Instant now);
    void recordFinish(const settings::Policy&, base::Instant now);

    BurnRateReport burnRates(base::Instant now);
    Counters counters();
    LatencySummary latency(base::Rank, Objective);

private:
    struct Shards;

    void record(const settings::Policy&, Objective, base::Duration elapsed, bool isMet, MissCause, base::Instant now);

    std::unique_ptr<Shards> m_shards;
    std::array<std::array<std::atomic<int64_t>, objectiveCount>, base::rankCount> m_objectivePermille {};
};

} // namespace redwingseam::report
