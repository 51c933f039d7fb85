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
    do {
        while (dispatchOne(name, context)) { }
    } while (preemptOne(name, context));
}

template<typename Policies>
bool NodeCore<Policies>::dispatchOne(const base::PoolName& name, Context& context)
{
    std::optional<Dispatch> dispatch;
    withPool(name, [&](FairPool& pool) { dispatch = pool.next(context.now, context.random); });
    if (!dispatch)
        return false;
    if (!begin(*dispatch, context))
        release(name, dispatch->upstream.name, dispatch->work.request);
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
        Flight flight { { ++state.attempts }, dispatch.upstream.name, context.now, context.now, state.ledger.transcript().size(), false };
        if (isRival) {
            state.rival = flight;
            state.isRivalQueued = false;
            state.ledger.setRival(flight.attempt);
        } else {
            state.current = flight;
            state.phase = RequestPhase::Running;
            state.ledger.setCurrent(flight.attempt);
        }
        const auto& request = state.request;
        if (state.isGeneration())
            context.emit(StartGeneration { request.id, flight.attempt, dispatch.upstream, request.content, request.maxTokens, request.seed, dispatch.work.rank, state.ledger.transcript().ids() });
        else
            context.emit(CallService { request.id, flight.attempt, dispatch.upstream, request.content, request.key });
    });
    return hasBegun;
}

template<typename Policies>
bool NodeCore<Policies>::preemptOne(const base::PoolName& name, Context& context)
{
    std::optional<route::FlightEntry> victim;
    withPool(name, [&](FairPool& pool) {
        victim = pool.preemptionVictim(pool.queue().floors().permille[base::indexOf(base::Rank::Deferrable)]);
    });
    if (!victim)
        return false;
    std::optional<Flight> ended;
    std::optional<schedule::QueuedWork> work;
    withRequest(victim->request, [&](State& state) {
        bool mayStop = state.isGeneration() && state.policy.preemptsDeferrable && state.current && !state.rival && !state.isRivalQueued;
        if (!mayStop)
            return;
        ended = std::exchange(state.current, std::nullopt);
        state.ledger.close(ended->attempt);
        state.phase = RequestPhase::Queued;
        work = describeWork(state);
    });
    if (!ended)
        return false;
    m_recorder.countPreemption();
    context.emit(CancelAttempt { victim->request, ended->attempt, ended->upstream });
    withPool(name, [&](FairPool& pool) {
        pool.release(ended->upstream, victim->request);
        pool.push(std::move(*work));
    });
    return true;
}

} // namespace redwingseam::node
