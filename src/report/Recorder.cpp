#include "report/Recorder.h"

#include "redwingseam/base/Sharded.h"
#include "report/RecorderShard.h"

#include <pthread.h>

namespace redwingseam::report {

struct Recorder::Shards {
    base::Sharded<RecorderShard, 4> shards;

    template<typename Function>
    void here(Function&& function)
    {
        // Drops the low bits, which are equal for all threads' descriptors.
        static constexpr unsigned pageBits = 12;
        shards.with(static_cast<uint64_t>(pthread_self()) >> pageBits, function);
    }
};

Recorder::Recorder()
    : m_shards(std::make_unique<Shards>())
{
}

Recorder::~Recorder() = default;

static int64_t minuteOf(base::Instant now)
{
    return std::chrono::duration_cast<std::chrono::minutes>(now.time_since_epoch()).count();
}

void Recorder::countRequest(base::Rank rank)
{
    m_shards->here([&](RecorderShard& shard) { ++shard.counters.requests[base::indexOf(rank)]; });
}

static MissCause causeOf(base::ResultCode code)
{
    switch (code) {
    case base::ResultCode::QueueFull:
    case base::ResultCode::DeadlinePassed:
        return MissCause::Overload;
    case base::ResultCode::ClaimStoreUnavailable:
    case base::ResultCode::ManifestUnknown:
    case base::ResultCode::ManifestStale:
        return MissCause::Platform;
    case base::ResultCode::OutcomeUnknown:
    case base::ResultCode::RetriesExhausted:
    case base::ResultCode::NoUpstream:
        return MissCause::EngineLoss;
    case base::ResultCode::StreamLost:
        return MissCause::VmLoss;
    default:
        return MissCause::Refusal;
    }
}

void Recorder::countRefusal(const settings::Policy& policy, base::ResultCode code, base::Instant now)
{
    m_shards->here([&](RecorderShard& shard) { ++shard.counters.refused[base::indexOf(policy.rank)]; });
    record(policy, Objective::CompleteAnswer, {}, false, causeOf(code), now);
}

void Recorder::countPreemption()
{
    m_shards->here([&](RecorderShard& shard) { ++shard.counters.preemptions; });
}

void Recorder::countSuspicion()
{
    m_shards->here([&](RecorderShard& shard) { ++shard.counters.suspicions; });
}

void Recorder::countUpstreamLoss()
{
    m_shards->here([&](RecorderShard& shard) { ++shard.counters.upstreamLosses; });
}

void Recorder::recordFirstToken(const settings::Policy& policy, base::Duration took, bool hadLoss, base::Instant now)
{
    record(policy, Objective::FirstToken, took, took <= policy.firstTokenTarget, hadLoss ? MissCause::EngineLoss : MissCause::Overload, now);
}

void Recorder::recordGap(const settings::Policy& policy, base::Duration gap, bool hadLoss, base::Instant now)
{
    // Only a silence that a loss can explain is counted as a resume.
    bool isResume = hadLoss && gap > policy.suspicionFloor;
    if (isResume)
        record(policy, Objective::Resume, gap, gap <= policy.resumeTarget, MissCause::EngineLoss, now);
    else
        record(policy, Objective::BetweenTokens, gap, gap <= policy.betweenTokensTarget, MissCause::SlowUpstream, now);
}

void Recorder::recordFinish(const settings::Policy& policy, base::Instant now)
{
    m_shards->here([&](RecorderShard& shard) { ++shard.counters.finished[base::indexOf(policy.rank)]; });
    record(policy, Objective::CompleteAnswer, {}, true, MissCause::Refusal, now);
}

void Recorder::record(const settings::Policy& policy, Objective objective, base::Duration took, bool isMet, MissCause cause, base::Instant now)
{
    m_objectivePermille[base::indexOf(policy.rank)][indexOf(objective)] = policy.objectivePermille;
    auto minute = minuteOf(now);
    static constexpr double microsPerMilli = 1000;
    m_shards->here([&](RecorderShard& shard) {
        auto& ring = shard.rings[base::indexOf(policy.rank)][indexOf(objective)];
        if (isMet)
            ring.addMet(minute);
        else
            ring.addMissed(minute, cause);
        if (objective != Objective::CompleteAnswer)
            shard.histogram(policy.rank, objective)(static_cast<double>(took.count()) / microsPerMilli);
    });
}

BurnRateReport Recorder::burnRates(base::Instant now)
{
    BurnRateReport report;
    auto minute = minuteOf(now);
    m_shards->shards.forEach([&](RecorderShard& shard) {
        for (size_t rank = 0; rank < base::rankCount; ++rank) {
            for (size_t objective = 0; objective < objectiveCount; ++objective) {
                for (size_t window = 0; window < windowCount; ++window)
                    report.cells[rank][objective][window].add(shard.rings[rank][objective].sum(minute, minutesOf(static_cast<Window>(window))));
            }
        }
    });
    static constexpr int64_t objectiveUntilKnown = 950;
    for (size_t rank = 0; rank < base::rankCount; ++rank) {
        for (size_t objective = 0; objective < objectiveCount; ++objective) {
            auto permille = m_objectivePermille[rank][objective].load();
            for (auto& cell : report.cells[rank][objective])
                cell.objectivePermille = permille ? permille : objectiveUntilKnown;
        }
    }
    return report;
}

Counters Recorder::counters()
{
    Counters total;
    m_shards->shards.forEach([&](RecorderShard& shard) { total.add(shard.counters); });
    return total;
}

LatencySummary Recorder::latency(base::Rank rank, Objective objective)
{
    LatencySummary summary;
    m_shards->shards.forEach([&](RecorderShard& shard) {
        const auto& histogram = shard.histogram(rank, objective);
        const auto& axis = histogram.axis();
        summary.counts.resize(static_cast<size_t>(axis.size()));
        summary.upperBoundsMs.resize(summary.counts.size());
        for (int bin = 0; bin < axis.size(); ++bin) {
            summary.upperBoundsMs[static_cast<size_t>(bin)] = axis.bin(bin).upper();
            summary.counts[static_cast<size_t>(bin)] += histogram.at(bin);
            summary.total += histogram.at(bin);
        }
    });
    return summary;
}

} // namespace redwingseam::report
