#pragma once

#include "node/NodeCore.h"

// Dispatches queued work to upstreams and preempts deferrable streams for urgent work.
namespace redwingseam::node {

template<typename Rules>
template<typename Function>
void NodeCore<Rules>::withPool(const base::PoolName& name, Function&& function)
{
    m_pools.with(std::hash<base::PoolName> {}(name), [&](PoolShard& shard) {
        if (auto* pool = shard.find(name))
            function(*pool);
    });
}

template<typename Rules>
void NodeCore<Rules>::release(const base::PoolName& name, const base::UpstreamName& upstream, base::RequestId request)
{
    withPool(name, [&](FairPool& pool) { pool.release(upstream, request); });
}

template<typename Rules>
void NodeCore<Rules>::dispatchQueued(const base::PoolName& name, CallContext& context)
{
    std::vector<CancelAttempt> preempted;
    do {
        while (dispatchOne(name, preempted, context)) { }
    } while (preemptForQueued(name, preempted, context));
    // Urgent work is sent before the preempted streams are cancelled, so that the engine gives the freed slots to
    // this work and not to other work in the engine's queue.
    for (auto& cancel : preempted)
        context.emit(std::move(cancel));
}

// Returns whether work was taken from the queue, even if it was not started. Appends the streams that it preempts
// to `preempted`.
template<typename Rules>
bool NodeCore<Rules>::dispatchOne(const base::PoolName& name, std::vector<CancelAttempt>& preempted, CallContext& context)
{
    std::optional<Placement> placement;
    withPool(name, [&](FairPool& pool) { placement = pool.next(context.now, context.random); });
    if (!placement)
        return false;
    if (!tryStart(*placement, context))
        release(name, placement->upstream.name, placement->work.request);
    else if (placement->victim)
        preemptStream(name, placement->victim->request, preempted);
    return true;
}

template<typename Rules>
bool NodeCore<Rules>::tryStart(const Placement& placement, CallContext& context)
{
    auto quarantineState = m_crashAttribution.quarantineState(placement.work.fingerprint);
    if (quarantineState == route::QuarantineState::Quarantined) {
        refuseHarmful(placement.work.request, context);
        return false;
    }
    if (quarantineState == route::QuarantineState::Suspected) {
        // The request became a suspect while it was queued.
        queueSuspect(placement.work, placement.upstream.pool, context);
        return false;
    }
    bool hasStarted = startAttempt(placement, context);
    if (hasStarted)
        m_clientUsage.add(placement.work.client, placement.work.rank, placement.work.cost.value(), placement.work.weight);
    return hasStarted;
}

// Refuses a request that the dispatch has taken from the queue. The dispatch goes on by itself afterwards: to start another
// one here would recurse once for each queued copy of the request.
template<typename Rules>
void NodeCore<Rules>::refuseHarmful(base::RequestId id, CallContext& context)
{
    auto state = removeRequest(id);
    if (!state)
        return;
    refuse(*state, { base::ResultCode::HarmfulRequest, "this request crashed the upstreams that ran it" }, RunState::Partial, context);
    cancelAttempts(*state, context);
}

template<typename Rules>
bool NodeCore<Rules>::startAttempt(const Placement& placement, CallContext& context)
{
    bool hasStarted = false;
    withRequest(placement.work.request, [&](State& state) {
        bool isHedge = state.current.has_value();
        bool isWanted = state.phase == RequestPhase::Queued || (isHedge && state.isHedgeQueued);
        if (!isWanted)
            return;
        hasStarted = true;
        Attempt attempt { { ++state.attemptCount }, placement.upstream.name, context.now, context.now, state.sequencer.transcript().size(), false };
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
        auto engineRank = placement.work.isFloorGrant ? base::Rank::Urgent : placement.work.rank;
        if (state.isGeneration())
            context.emit(StartGeneration { request.id, attempt.number, placement.upstream, request.content, request.maxTokens, request.seed, engineRank, state.sequencer.transcript().ids() });
        else
            context.emit(CallService { request.id, attempt.number, placement.upstream, request.content, request.key });
    });
    return hasStarted;
}

// Preempts a deferrable stream if urgent work is queued and no slot is free for it. Returns whether it did.
template<typename Rules>
bool NodeCore<Rules>::preemptForQueued(const base::PoolName& name, std::vector<CancelAttempt>& preempted, CallContext&)
{
    std::optional<route::InFlightRequest> victim;
    withPool(name, [&](FairPool& pool) {
        victim = pool.preemptionVictim();
    });
    if (!victim)
        return false;
    return preemptStream(name, victim->request, preempted);
}

// Closes the stream's attempt, frees its slot and queues it again. The attempt is added to `preempted` and
// cancelled later. Returns whether the stream could be preempted.
template<typename Rules>
bool NodeCore<Rules>::preemptStream(const base::PoolName& name, base::RequestId request, std::vector<CancelAttempt>& preempted)
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
    preempted.push_back({ request, ended->number, ended->upstream });
    withPool(name, [&](FairPool& pool) {
        pool.release(ended->upstream, request);
        pool.push(std::move(*work));
    });
    return true;
}

} // namespace redwingseam::node
