#pragma once

#include "node/NodeCore.h"

// Giving queued work to upstreams.
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
void NodeCore<Policies>::pump(const base::PoolName& name, Context& context)
{
    std::vector<CancelAttempt> preempted;
    do {
        while (dispatchOne(name, preempted, context)) { }
    } while (preemptOne(name, preempted, context));
    // The urgent work is sent before the preempted is cancelled: the engine then gives the slot to it,
    // and not to whatever else waits there.
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
    if (!begin(*dispatch, context))
        release(name, dispatch->upstream.name, dispatch->work.request);
    else if (dispatch->displaced)
        preempt(name, dispatch->displaced->request, cancels);
    return true;
}

template<typename Policies>
bool NodeCore<Policies>::begin(const Dispatch& dispatch, Context& context)
{
    auto verdict = m_blame.verdict(dispatch.work.fingerprint);
    if (verdict == route::Verdict::Convicted) {
        refuse(dispatch.work.request, { base::ResultCode::HarmfulRequest, "this request ended the upstreams that ran it" }, RunState::Partial, context);
        return false;
    }
    if (verdict == route::Verdict::Suspected) {
        // It became suspect while it waited.
        hold(dispatch.work, dispatch.upstream.pool, context);
        return false;
    }
    bool hasBegun = startFlight(dispatch, context);
    if (hasBegun)
        m_use.add(dispatch.work.client, dispatch.work.rank, dispatch.work.cost, dispatch.work.weight);
    return hasBegun;
}

template<typename Policies>
bool NodeCore<Policies>::startFlight(const Dispatch& dispatch, Context& context)
{
    bool hasBegun = false;
    withRequest(dispatch.work.request, [&](State& state) {
        bool isRival = state.current.has_value();
        bool isWanted = state.phase == RequestPhase::Queued || (isRival && state.isRivalQueued);
        if (!isWanted)
            return;
        hasBegun = true;
        Flight flight { { ++state.attempts }, dispatch.upstream.name, context.now, context.now, state.sequencer.transcript().size(), false };
        if (isRival) {
            state.rival = flight;
            state.isRivalQueued = false;
            state.sequencer.setHedge(flight.attempt);
        } else {
            state.current = flight;
            state.phase = RequestPhase::Running;
            state.sequencer.setCurrent(flight.attempt);
        }
        const auto& request = state.request;
        // An engine that serves higher ranks first would hold back what the floor has just let through.
        auto engineRank = dispatch.work.isFloorGrant ? base::Rank::Urgent : dispatch.work.rank;
        if (state.isGeneration())
            context.emit(StartGeneration { request.id, flight.attempt, dispatch.upstream, request.content, request.maxTokens, request.seed, engineRank, state.sequencer.transcript().ids() });
        else
            context.emit(CallService { request.id, flight.attempt, dispatch.upstream, request.content, request.key });
    });
    return hasBegun;
}

template<typename Policies>
bool NodeCore<Policies>::preemptOne(const base::PoolName& name, std::vector<CancelAttempt>& cancels, Context&)
{
    std::optional<route::FlightEntry> victim;
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
    std::optional<Flight> ended;
    std::optional<schedule::QueuedWork> work;
    withRequest(request, [&](State& state) {
        bool mayStop = state.isGeneration() && state.policy.preemptsDeferrable && state.current && !state.rival && !state.isRivalQueued;
        if (!mayStop)
            return;
        ended = std::exchange(state.current, std::nullopt);
        state.sequencer.close(ended->attempt);
        state.phase = RequestPhase::Queued;
        work = describeWork(state);
        work->isPreempted = true;
    });
    if (!ended)
        return false;
    m_recorder.countPreemption();
    cancels.push_back({ request, ended->attempt, ended->upstream });
    withPool(name, [&](FairPool& pool) {
        pool.release(ended->upstream, request);
        pool.push(std::move(*work));
    });
    return true;
}

} // namespace redwingseam::node
