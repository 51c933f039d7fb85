#pragma once

#include "node/NodeCore.h"

// Requests that were in flight when an upstream died: kept apart, cleared or convicted.
namespace redwingseam::node {

template<typename Policies>
void NodeCore<Policies>::hold(const schedule::QueuedWork& work, const base::PoolName& pool, Context& context)
{
    // Whoever else runs the same request is given time to find out.
    static constexpr base::Duration newcomerWait = std::chrono::seconds(2);
    bool isFirstDispatch = work.isFirstDispatch;
    auto notBefore = std::max(m_blame.hearingEnd(work.fingerprint), isFirstDispatch ? context.now + newcomerWait : context.now);
    m_ward.add({ work.request, work.fingerprint, pool, notBefore });
}

template<typename Policies>
void NodeCore<Policies>::tryHeldSuspects(Context& context)
{
    auto convictions = m_blame.judge(context.now);
    if (!convictions.empty())
        tellAtOnce(convictions, context);
    for (const auto& suspect : m_ward.takeDue(context.now)) {
        auto verdict = m_blame.verdict(suspect.fingerprint);
        if (verdict == route::Verdict::Convicted)
            refuse(suspect.request, { base::ResultCode::HarmfulRequest, "this request ended the upstreams that ran it" }, RunState::Partial, context);
        else if (verdict == route::Verdict::Clear)
            enqueue(suspect.request, context);
        else if (!m_blame.isHeard(suspect.fingerprint))
            m_ward.add({ suspect.request, suspect.fingerprint, suspect.pool, context.now + tickInterval });
        else
            tryApart(suspect, context);
    }
}

// Upstream on which a suspect is tried. Nodes number suspects and upstreams alike, and a suspect whose
// place is down moves on by the number of suspects, so that no two meet while there are enough places.
inline const route::UpstreamView* placeOfSuspect(const FairPool& pool, const route::SuspectPlace& place)
{
    auto views = pool.liveInOrder();
    for (size_t index = place.rank; index < views.size(); index += place.suspects) {
        if (views[index]->takesWork() && views[index]->estimatedLoad() < views[index]->record.slots)
            return views[index];
    }
    return nullptr;
}

// Least loaded upstream, for when there are more suspects than places.
inline const route::UpstreamView* sharedPlace(const FairPool& pool)
{
    const route::UpstreamView* best = nullptr;
    for (const auto* view : pool.liveInOrder()) {
        bool isBetter = view->takesWork() && (!best || view->estimatedLoad() < best->estimatedLoad());
        if (isBetter)
            best = view;
    }
    return best;
}

template<typename Policies>
void NodeCore<Policies>::tryApart(const HeldSuspect& suspect, Context& context)
{
    static constexpr base::Duration retryTime = std::chrono::milliseconds(50);
    // With fewer upstreams than suspects the rest take turns, each for long enough to show itself.
    static constexpr base::Duration firstTurn = std::chrono::milliseconds(300);
    static constexpr base::Duration turnTime = std::chrono::milliseconds(250);
    static constexpr base::Duration longestWait = std::chrono::seconds(4);
    std::optional<schedule::QueuedWork> work;
    withRequest(suspect.request, [&](State& state) { work = describeWork(state); });
    if (!work)
        return;
    work->isSuspect = true;
    auto place = m_blame.place(suspect.fingerprint);
    std::optional<Dispatch> dispatch;
    withPool(suspect.pool, [&](FairPool& pool) {
        const auto* view = placeOfSuspect(pool, place);
        auto wait = std::min(longestWait, firstTurn + turnTime * static_cast<int64_t>(place.rank));
        bool mayShare = context.now >= place.hearingEnd + wait;
        if (!view && mayShare)
            view = sharedPlace(pool);
        if (view)
            dispatch = pool.placeAt(*work, base::UpstreamName(view->record.name), context.now);
    });
    if (!dispatch)
        m_ward.add({ suspect.request, suspect.fingerprint, suspect.pool, context.now + retryTime });
    else if (!startFlight(*dispatch, context))
        release(suspect.pool, dispatch->upstream.name, suspect.request);
}

template<typename Policies>
void NodeCore<Policies>::tellAtOnce(const std::vector<membership::VerdictRecord>& records, Context& context)
{
    peer::Gossip message { m_config.self, {} };
    for (const auto& record : records)
        message.entries.push_back(membership::makeGossipEntry(record));
    // Deaths are rare, and all nodes must know the suspects before the next one: no rumor is fast enough.
    for (const auto& vm : m_vms.liveInDataCentre(m_config.dataCentre)) {
        if (vm != m_config.self)
            send(vm, message, context);
    }
    for (const auto& entry : message.entries)
        learn(entry, context);
}

} // namespace redwingseam::node
