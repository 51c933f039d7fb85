#pragma once

#include "node/NodeCore.h"
#include "stream/StallTimeout.h"

// Does the periodic work: deadlines, stalled streams, gossip, heartbeats and claim appends.
namespace redwingseam::node {

// Returns whether `interval` has passed since the last call that returned true. Of several threads, only
// one gets true.
inline bool isDue(std::atomic<int64_t>& last, base::Duration interval, base::Instant now)
{
    auto current = now.time_since_epoch().count();
    auto previous = last.load();
    if (previous && current - previous < interval.count())
        return false;
    return last.compare_exchange_strong(previous, current);
}

template<typename Rules>
void NodeCore<Rules>::handle(const Tick&, CallContext& context)
{
    static constexpr base::Duration gossipInterval = std::chrono::milliseconds(250);
    static constexpr base::Duration heartbeatInterval = std::chrono::seconds(1);
    static constexpr base::Duration digestInterval = std::chrono::seconds(5);
    static constexpr base::Duration clientUsageInterval = std::chrono::seconds(5);
    checkDeadlines(context);
    discountStandstill(context);
    hedgeStalledRequests(context);
    dispatchDueSuspects(context);
    for (size_t group = 0; group < claim::ShardedClaimLog::groupCount; ++group) {
        m_claimLog.appendOverdueRelayed(group, context.now);
        issueClaimCall(group, context);
    }
    if (isDue(m_lastGossip, gossipInterval, context.now)) {
        updateWatches(context);
        storeAcceptedBranches(context);
        gossip(context);
    }
    if (isDue(m_lastHeartbeat, heartbeatInterval, context.now))
        sendHeartbeats(context);
    if (isDue(m_lastDigest, digestInterval, context.now)) {
        sendDigests(context);
        m_crashAttribution.expire(context.now);
    }
    if (isDue(m_lastClientUsage, clientUsageInterval, context.now))
        gossipHeavyClients(context);
}

template<typename Rules>
void NodeCore<Rules>::checkDeadlines(CallContext& context)
{
    std::vector<base::RequestId> expired;
    m_pools.forEach([&](PoolShard& shard) {
        for (auto& [name, pool] : shard.pools) {
            for (const auto& work : pool.expire(context.now))
                expired.push_back(work.request);
        }
    });
    for (auto request : expired)
        refuse(request, { base::ResultCode::DeadlinePassed, "no upstream had a free slot before the request's deadline" }, RunState::NotRun, context);
    std::vector<base::RequestId> unrecordedClaims;
    std::vector<base::RequestId> unknownOutcomes;
    std::vector<base::RequestId> overdueCalls;
    m_requests.forEach([&](RequestMap& requests) {
        for (auto& [id, state] : requests) {
            if (context.now < state.deadline)
                continue;
            if (state.phase == RequestPhase::Claiming)
                (state.awaitsOutcome ? unknownOutcomes : unrecordedClaims).push_back(id);
            bool isOverdueCall = state.phase == RequestPhase::Running && !state.isRepeatable() && context.now - state.current->startedAt > state.requestSettings.deadline;
            if (isOverdueCall)
                overdueCalls.push_back(id);
        }
    });
    for (auto request : unrecordedClaims)
        refuse(request, { base::ResultCode::ClaimStoreUnavailable, "the idempotency key could not be recorded before the deadline, so the call was not sent" }, RunState::NotRun, context);
    for (auto request : unknownOutcomes)
        refuse(request, { base::ResultCode::OutcomeUnknown, "another request with the same Idempotency-Key was sent and its outcome is not known" }, RunState::Unknown, context);
    for (auto request : overdueCalls)
        detach(request, context);
}

// Answers the caller with OutcomeUnknown and keeps the call until it ends, so that its outcome is recorded.
template<typename Rules>
void NodeCore<Rules>::detach(base::RequestId id, CallContext& context)
{
    bool isDetached = false;
    withRequest(id, [&](State& state) {
        isDetached = state.phase == RequestPhase::Running;
        if (isDetached)
            state.phase = RequestPhase::Detached;
    });
    if (isDetached)
        context.emit(Refuse { id, { base::ResultCode::OutcomeUnknown, "the call was sent and was not answered before the deadline; retry with the same Idempotency-Key to look it up" }, RunState::Unknown, {} });
}

// The tokens of that time may be handled after the tick.
template<typename Rules>
void NodeCore<Rules>::discountStandstill(CallContext& context)
{
    auto pause = m_standstill.pauseBefore(context.now);
    if (pause == base::Duration {})
        return;
    m_requests.forEach([&](RequestMap& requests) {
        for (auto& [id, state] : requests) {
            for (auto* attempt : { &state.current, &state.hedge }) {
                if (*attempt)
                    (*attempt)->lastTokenAt = std::min((*attempt)->lastTokenAt + pause, context.now);
            }
        }
    });
}

template<typename Rules>
void NodeCore<Rules>::hedgeStalledRequests(CallContext& context)
{
    std::vector<base::RequestId> stalled;
    m_requests.forEach([&](RequestMap& requests) {
        for (auto& [id, state] : requests) {
            bool mayHedge = state.phase == RequestPhase::Running && state.current && !state.hedge && !state.isHedgeQueued && state.isRepeatable();
            if (!mayHedge)
                continue;
            auto limit = stream::stallTimeout(state.requestSettings, state.tokenIntervals, state.current->hasToken);
            if (context.now - state.current->lastTokenAt > limit)
                stalled.push_back(id);
        }
    });
    for (auto request : stalled)
        queueHedge(request, context);
}

template<typename Rules>
void NodeCore<Rules>::queueHedge(base::RequestId id, CallContext& context)
{
    std::optional<schedule::QueuedWork> work;
    base::PoolName pool;
    base::UpstreamName stalledUpstream;
    withRequest(id, [&](State& state) {
        if (!state.current || state.isHedgeQueued || state.hedge)
            return;
        state.isHedgeQueued = true;
        work = makeQueuedWork(state);
        pool = state.pool;
        stalledUpstream = state.current->upstream;
    });
    if (!work)
        return;
    m_recorder.countSuspicion();
    // The upstream gets no new work until its next load report. Its streams continue if it recovers.
    withPool(pool, [&](FairPool& target) {
        target.markDown(stalledUpstream);
        target.push(std::move(*work));
    });
    dispatchQueued(pool, context);
}

} // namespace redwingseam::node
