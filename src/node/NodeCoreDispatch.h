#pragma once

#include "node/NodeCore.h"

// Dispatches queued work to upstreams and preempts deferrable streams for urgent work.
namespace redwingseam::node {

template<typename Policies>
template<typename Function>
void NodeCore<Policies>::withPool(const base::PoolName& name, Function&& function)
{
    m_pools.with(std::hash<base::PoolName> {}(name), [&](PoolShard& shard) {
        if (auto* pool = shard.find(name))
            function(*pool);
    });
}

template<typename Policies>
void NodeCore<Policies>::release(const base::PoolName& name, const base::UpstreamName& upstream, base::RequestId request)
{
    withPool(name, [&](FairPool& pool) { pool.release(upstream, request); });
}

template<typename Policies>
void NodeCore<Policies>::dispatchQueued(const base::PoolName& name, Context& context)
{
    std::vector<CancelAttempt> preempted;
    do {
        while (dispatchOne(name, preempted, context)) { }
    } while (preemptOne(name, preempted, context));
    // Urgent work is sent before the preempted streams are cancelled, so that the engine gives the freed
    // slots to it and not to other work in the engine's queue.
    for (auto& cancel : preempted)
        context.emit(std::move(cancel));
}

template<typename Policies>
bool NodeCore<Policies>::dispatchOne(const base::PoolName& name, std::vector<CancelAttempt>& cancels, Context& context)
{
    std::optional<Dispatch> dispatch;
    withPool(name, [&](FairPool& pool) { dispatch = pool.next(context.now, context.random); });
    if (!dispatch)
        return false;
    if (!tryStart(*dispatch, context))
        release(name, dispatch->upstream.name, dispatch->work.request);
    else if (dispatch->victim)
        preempt(name, dispatch->victim->request, cancels);
    return true;
}

template<typename Policies>
bool NodeCore<Policies>::tryStart(const Dispatch& dispatch, Context& context)
{
    auto quarantineState = m_crashAttribution.quarantineState(dispatch.work.fingerprint);
    if (quarantineState == route::QuarantineState::Quarantined) {
        refuse(dispatch.work.request, { base::ResultCode::HarmfulRequest, "this request crashed the upstreams that ran it" }, RunState::Partial, context);
        return false;
    }
    if (quarantineState == route::QuarantineState::Suspected) {
        // The request became a suspect while it was queued.
        queueSuspect(dispatch.work, dispatch.upstream.pool, context);
        return false;
    }
    bool hasStarted = startAttempt(dispatch, context);
    if (hasStarted)
        m_clientUse.add(dispatch.work.client, dispatch.work.rank, dispatch.work.cost, dispatch.work.weight);
    return hasStarted;
}

template<typename Policies>
bool NodeCore<Policies>::startAttempt(const Dispatch& dispatch, Context& context)
{
    bool hasStarted = false;
    withRequest(dispatch.work.request, [&](State& state) {
        bool isHedge = state.current.has_value();
        bool isWanted = state.phase == RequestPhase::Queued || (isHedge && state.isHedgeQueued);
        if (!isWanted)
            return;
        hasStarted = true;
        Attempt attempt { { ++state.attempts }, dispatch.upstream.name, context.now, context.now, state.sequencer.transcript().size(), false };
        if (isHedge) {
            state.hedge = attempt;
            state.isHedgeQueued = false;
            state.sequencer.setHedge(attempt.number);
        } else {
            state.current = attempt;
            state.phase = RequestPhase::Running;
            state.sequencer.setCurrent(attempt.number);
        }
        const auto& request = state.request;
        // Sent as Urgent, because an engine that serves higher ranks first would delay the work that the
        // rank's floor has just admitted.
        auto engineRank = dispatch.work.isFloorGrant ? base::Rank::Urgent : dispatch.work.rank;
        if (state.isGeneration())
            context.emit(StartGeneration { request.id, attempt.number, dispatch.upstream, request.content, request.maxTokens, request.seed, engineRank, state.sequencer.transcript().ids() });
        else
            context.emit(CallService { request.id, attempt.number, dispatch.upstream, request.content, request.key });
    });
    return hasStarted;
}

template<typename Policies>
bool NodeCore<Policies>::preemptOne(const base::PoolName& name, std::vector<CancelAttempt>& cancels, Context&)
{
    std::optional<route::InFlightRequest> victim;
    withPool(name, [&](FairPool& pool) {
        victim = pool.preemptionVictim();
    });
    if (!victim)
        return false;
    return preempt(name, victim->request, cancels);
}

template<typename Policies>
bool NodeCore<Policies>::preempt(const base::PoolName& name, base::RequestId request, std::vector<CancelAttempt>& cancels)
{
    std::optional<Attempt> ended;
    std::optional<schedule::QueuedWork> work;
    withRequest(request, [&](State& state) {
        bool isPreemptible = state.isGeneration() && state.requestSettings.preemptsDeferrable && state.current && !state.hedge && !state.isHedgeQueued;
        if (!isPreemptible)
            return;
        ended = std::exchange(state.current, std::nullopt);
        state.sequencer.close(ended->number);
        state.phase = RequestPhase::Queued;
        work = makeQueuedWork(state);
        work->isPreempted = true;
    });
    if (!ended)
        return false;
    m_recorder.countPreemption();
    cancels.push_back({ request, ended->number, ended->upstream });
    withPool(name, [&](FairPool& pool) {
        pool.release(ended->upstream, request);
        pool.push(std::move(*work));
    });
    return true;
}

} // namespace redwingseam::node
