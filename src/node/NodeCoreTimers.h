#pragma once

#include "node/NodeCore.h"
#include "stream/SuspicionTimeout.h"

// What is checked as time passes.
namespace redwingseam::node {

// Whether `interval` has passed since the last time this was true. Only one caller gets true.
inline bool isDue(std::atomic<int64_t>& last, base::Duration interval, base::Instant now)
{
    auto current = now.time_since_epoch().count();
    auto previous = last.load();
    if (previous && current - previous < interval.count())
        return false;
    return last.compare_exchange_strong(previous, current);
}

template<typename Policies>
void NodeCore<Policies>::handle(const Tick&, Context& context)
{
    static constexpr base::Duration gossipInterval = std::chrono::milliseconds(250);
    static constexpr base::Duration heartbeatInterval = std::chrono::seconds(1);
    static constexpr base::Duration digestInterval = std::chrono::seconds(5);
    static constexpr base::Duration useInterval = std::chrono::seconds(5);
    checkDeadlines(context);
    checkSilence(context);
    tryHeldSuspects(context);
    for (size_t group = 0; group < claim::ClaimDesk::groupCount; ++group) {
        m_claims.takeBackRelayed(group, context.now);
        pumpClaims(group, context);
    }
    if (isDue(m_lastGossip, gossipInterval, context.now)) {
        chooseWatches(context);
        acceptBranches(context);
        gossip(context);
    }
    if (isDue(m_lastHeartbeat, heartbeatInterval, context.now))
        sendHeartbeats(context);
    if (isDue(m_lastDigest, digestInterval, context.now)) {
        compareWithPeer(context);
        m_blame.expire(context.now);
    }
    if (isDue(m_lastUseShare, useInterval, context.now))
        shareClientUse(context);
}

template<typename Policies>
void NodeCore<Policies>::checkDeadlines(Context& context)
{
    std::vector<base::RequestId> late;
    m_pools.forEach([&](PoolShard& shard) {
        for (auto& [name, pool] : shard.pools) {
            for (const auto& work : pool.expire(context.now))
                late.push_back(work.request);
        }
    });
    for (auto request : late)
        refuse(request, { base::ResultCode::DeadlinePassed, "no upstream was free before the deadline" }, RunState::NotRun, context);
    std::vector<base::RequestId> unclaimed;
    std::vector<base::RequestId> unknown;
    std::vector<base::RequestId> unanswered;
    m_requests.forEach([&](RequestMap& requests) {
        for (auto& [id, state] : requests) {
            if (context.now < state.deadline)
                continue;
            if (state.phase == RequestPhase::Claiming)
                (state.awaitsOutcome ? unknown : unclaimed).push_back(id);
            bool isOverdueCall = state.phase == RequestPhase::Running && !state.isRepeatable() && context.now - state.current->startedAt > state.policy.deadline;
            if (isOverdueCall)
                unanswered.push_back(id);
        }
    });
    for (auto request : unclaimed)
        refuse(request, { base::ResultCode::ClaimStoreUnavailable, "the call could not be recorded, so it was not sent" }, RunState::NotRun, context);
    for (auto request : unknown)
        refuse(request, { base::ResultCode::OutcomeUnknown, "another request with this key was sent and has no known outcome" }, RunState::Unknown, context);
    for (auto request : unanswered)
        detach(request, context);
}

template<typename Policies>
void NodeCore<Policies>::detach(base::RequestId id, Context& context)
{
    bool isDetached = false;
    withRequest(id, [&](State& state) {
        isDetached = state.phase == RequestPhase::Running;
        if (isDetached)
            state.phase = RequestPhase::Detached;
    });
    if (isDetached)
        context.emit(Refuse { id, { base::ResultCode::OutcomeUnknown, "the call was sent and has not been answered; repeat the key to look it up" }, RunState::Unknown, {} });
}

template<typename Policies>
void NodeCore<Policies>::checkSilence(Context& context)
{
    std::vector<base::RequestId> silent;
    m_requests.forEach([&](RequestMap& requests) {
        for (auto& [id, state] : requests) {
            bool mayHaveRival = state.phase == RequestPhase::Running && state.current && !state.rival && !state.isRivalQueued && state.isRepeatable();
            if (!mayHaveRival)
                continue;
            auto limit = stream::suspicionTimeout(state.policy, state.gaps, state.current->hasToken);
            if (context.now - state.current->lastTokenAt > limit)
                silent.push_back(id);
        }
    });
    for (auto request : silent)
        suspectSilent(request, context);
}

template<typename Policies>
void NodeCore<Policies>::suspectSilent(base::RequestId id, Context& context)
{
    std::optional<schedule::QueuedWork> work;
    base::PoolName pool;
    base::UpstreamName suspected;
    withRequest(id, [&](State& state) {
        if (!state.current || state.isRivalQueued || state.rival)
            return;
        state.isRivalQueued = true;
        work = describeWork(state);
        pool = state.pool;
        suspected = state.current->upstream;
    });
    if (!work)
        return;
    m_recorder.countSuspicion();
    // The upstream gets no new work until it reports again; its streams go on if it comes back.
    withPool(pool, [&](FairPool& target) {
        target.setDown(suspected);
        target.push(std::move(*work));
    });
    pump(pool, context);
}

} // namespace redwingseam::node
