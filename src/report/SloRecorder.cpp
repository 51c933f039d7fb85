#include "report/SloRecorder.h"

#include "redwingseam/base/Sharded.h"
#include "report/SloRecorderShard.h"

#include <pthread.h>

namespace redwingseam::report {

struct SloRecorder::Shards {
    base::Sharded<SloRecorderShard, 4> shards;

    template<typename Function>
    void withThreadShard(Function&& function)
    {
        // Drops the low bits of the thread handle, which are the same for all threads.
        static constexpr unsigned pageBits = 12;
        shards.with(static_cast<uint64_t>(pthread_self()) >> pageBits, function);
    }
};

SloRecorder::SloRecorder()
    : m_shards(std::make_unique<Shards>())
{
}

SloRecorder::~SloRecorder() = default;

static int64_t minuteOf(base::Instant now)
{
    return std::chrono::duration_cast<std::chrono::minutes>(now.time_since_epoch()).count();
}

void SloRecorder::countRequest(base::Rank rank)
{
    m_shards->withThreadShard([&](SloRecorderShard& shard) { ++shard.counters.requests[base::indexOf(rank)]; });
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

void SloRecorder::countRefusal(const settings::RequestSettings& requestSettings, base::ResultCode code, base::Instant now)
{
    m_shards->withThreadShard([&](SloRecorderShard& shard) { ++shard.counters.refused[base::indexOf(requestSettings.rank)]; });
    record(requestSettings, Objective::CompleteAnswer, {}, false, causeOf(code), now);
}

void SloRecorder::countPreemption()
{
    m_shards->withThreadShard([&](SloRecorderShard& shard) { ++shard.counters.preemptions; });
}

void SloRecorder::countSuspicion()
{
    m_shards->withThreadShard([&](SloRecorderShard& shard) { ++shard.counters.suspicions; });
}

void SloRecorder::countUpstreamLoss()
{
    m_shards->withThreadShard([&](SloRecorderShard& shard) { ++shard.counters.upstreamLosses; });
}

void SloRecorder::recordFirstToken(const settings::RequestSettings& requestSettings, base::Duration elapsed, bool hadUpstreamLoss, base::Instant now)
{
    record(requestSettings, Objective::FirstToken, elapsed, elapsed <= requestSettings.firstTokenTarget, hadUpstreamLoss ? MissCause::EngineLoss : MissCause::Overload, now);
}

void SloRecorder::recordGap(const settings::RequestSettings& requestSettings, base::Duration gap, bool hadUpstreamLoss, base::Instant now)
{
    // A gap counts as a resume only after an upstream loss and if it exceeds the suspicion floor.
    bool isResume = hadUpstreamLoss && gap > requestSettings.suspicionFloor;
    if (isResume)
        record(requestSettings, Objective::Resume, gap, gap <= requestSettings.resumeTarget, MissCause::EngineLoss, now);
    else
        record(requestSettings, Objective::BetweenTokens, gap, gap <= requestSettings.betweenTokensTarget, MissCause::SlowUpstream, now);
}

void SloRecorder::recordFinish(const settings::RequestSettings& requestSettings, base::Instant now)
{
    m_shards->withThreadShard([&](SloRecorderShard& shard) { ++shard.counters.finished[base::indexOf(requestSettings.rank)]; });
    record(requestSettings, Objective::CompleteAnswer, {}, true, MissCause::Refusal, now);
}

void SloRecorder::record(const settings::RequestSettings& requestSettings, Objective objective, base::Duration elapsed, bool isMet, MissCause cause, base::Instant now)
{
    m_objectivePermille[base::indexOf(requestSettings.rank)][indexOf(objective)] = requestSettings.objectivePermille;
    auto minute = minuteOf(now);
    static constexpr double microsPerMilli = 1000;
    m_shards->withThreadShard([&](SloRecorderShard& shard) {
        auto& ring = shard.rings[base::indexOf(requestSettings.rank)][indexOf(objective)];
        if (isMet)
            ring.addMet(minute);
        else
            ring.addMissed(minute, cause);
        if (objective != Objective::CompleteAnswer)
            shard.histogram(requestSettings.rank, objective)(static_cast<double>(elapsed.count()) / microsPerMilli);
    });
}

BurnRateReport SloRecorder::burnRates(base::Instant now)
{
    BurnRateReport report;
    auto minute = minuteOf(now);
    m_shards->shards.forEach([&](SloRecorderShard& shard) {
        for (size_t rank = 0; rank < base::rankCount; ++rank) {
            for (size_t objective = 0; objective < objectiveCount; ++objective) {
                for (size_t window = 0; window < windowCount; ++window)
                    report.cells[rank][objective][window].add(shard.rings[rank][objective].sum(minute, minutesOf(static_cast<Window>(window))));
            }
        }
    });
    static constexpr int64_t defaultObjectivePermille = 950;
    for (size_t rank = 0; rank < base::rankCount; ++rank) {
        for (size_t objective = 0; objective < objectiveCount; ++objective) {
            auto permille = m_objectivePermille[rank][objective].load();
            for (auto& cell : report.cells[rank][objective])
                cell.objectivePermille = permille ? permille : defaultObjectivePermille;
        }
    }
    return report;
}

Counters SloRecorder::counters()
{
    Counters total;
    m_shards->shards.forEach([&](SloRecorderShard& shard) { total.add(shard.counters); });
    return total;
}

LatencySummary SloRecorder::latency(base::Rank rank, Objective objective)
{
    LatencySummary summary;
    m_shards->shards.forEach([&](SloRecorderShard& shard) {
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
