#pragma once

#include "node/NodeCore.h"

// Isolates the requests that were in flight when an upstream crashed, and clears or quarantines them.
namespace redwingseam::node {

template<typename Rules>
void NodeCore<Rules>::queueSuspect(const schedule::QueuedWork& work, const base::PoolName& pool, CallContext& context)
{
    // A request that has not been attempted yet waits, so that nodes that already run the same request can
    // clear or quarantine it first.
    static constexpr base::Duration firstAttemptDelay = std::chrono::seconds(2);
    bool isFirstAttempt = work.isFirstDispatch;
    auto notBefore = std::max(m_crashAttribution.reportWindowEnd(work.fingerprint), isFirstAttempt ? context.now + firstAttemptDelay : context.now);
    m_suspectQueue.add({ work.request, work.fingerprint, pool, notBefore });
}

template<typename Rules>
void NodeCore<Rules>::dispatchDueSuspects(CallContext& context)
{
    auto quarantines = m_crashAttribution.attributeCrashes(context.now);
    if (!quarantines.empty())
        broadcastReports(quarantines, context);
    for (const auto& suspect : m_suspectQueue.takeDue(context.now)) {
        auto quarantineState = m_crashAttribution.quarantineState(suspect.fingerprint);
        if (quarantineState == route::QuarantineState::Quarantined)
            refuse(suspect.request, { base::ResultCode::HarmfulRequest, "this request crashed the upstreams that ran it" }, RunState::Partial, context);
        else if (quarantineState == route::QuarantineState::Clear)
            enqueue(suspect.request, context);
        else if (!m_crashAttribution.isLatestCrashDecided(suspect.fingerprint))
            m_suspectQueue.add({ suspect.request, suspect.fingerprint, suspect.pool, context.now + tickInterval });
        else
            dispatchIsolated(suspect, context);
    }
}

// Returns the upstream on which a suspect is tried alone. All nodes sort suspects and upstreams in the same
// order. With n suspects, suspect i tries upstreams i, i + n, i + 2n and so on until one takes work and has a
// free slot, so no two suspects share an upstream. Returns null if there is none.
inline const route::UpstreamView* isolatedUpstream(const FairPool& pool, const route::SuspectPosition& position)
{
    auto views = pool.liveUpstreamsByName();
    for (size_t index = position.index; index < views.size(); index += position.candidateCount) {
        if (views[index]->takesWork() && views[index]->estimatedLoad() < views[index]->record.slots)
            return views[index];
    }
    return nullptr;
}

// Returns the least loaded upstream, for when there are more suspects than usable upstreams.
inline const route::UpstreamView* leastLoadedUpstream(const FairPool& pool)
{
    const route::UpstreamView* best = nullptr;
    for (const auto* view : pool.liveUpstreamsByName()) {
        bool isBetter = view->takesWork() && (!best || view->estimatedLoad() < best->estimatedLoad());
        if (isBetter)
            best = view;
    }
    return best;
}

template<typename Rules>
void NodeCore<Rules>::dispatchIsolated(const QueuedSuspect& suspect, CallContext& context)
{
    static constexpr base::Duration retryInterval = std::chrono::milliseconds(50);
    // With fewer upstreams than suspects the remaining suspects take turns, each for long enough to show
    // whether it crashes the upstream.
    static constexpr base::Duration sharedUpstreamBaseDelay = std::chrono::milliseconds(300);
    static constexpr base::Duration sharedUpstreamDelayPerSuspect = std::chrono::milliseconds(250);
    static constexpr base::Duration sharedUpstreamMaxDelay = std::chrono::seconds(4);
    std::optional<schedule::QueuedWork> work;
    withRequest(suspect.request, [&](State& state) { work = makeQueuedWork(state); });
    if (!work)
        return;
    work->isSuspect = true;
    auto position = m_crashAttribution.position(suspect.fingerprint);
    std::optional<Placement> placement;
    withPool(suspect.pool, [&](FairPool& pool) {
        const auto* view = isolatedUpstream(pool, position);
        auto sharedUpstreamDelay = std::min(sharedUpstreamMaxDelay, sharedUpstreamBaseDelay + sharedUpstreamDelayPerSuspect * static_cast<int64_t>(position.index));
        bool mayShareUpstream = context.now >= position.reportWindowEnd + sharedUpstreamDelay;
        if (!view && mayShareUpstream)
            view = leastLoadedUpstream(pool);
        if (view)
            placement = pool.placeAt(*work, base::UpstreamName(view->record.name), context.now);
    });
    if (!placement)
        m_suspectQueue.add({ suspect.request, suspect.fingerprint, suspect.pool, context.now + retryInterval });
    else if (!startAttempt(*placement, context))
        release(suspect.pool, placement->upstream.name, suspect.request);
}

template<typename Rules>
void NodeCore<Rules>::broadcastReports(const std::vector<membership::CrashReport>& reports, CallContext& context)
{
    peer::Gossip message { m_config.self, {} };
    for (const auto& report : reports)
        message.entries.push_back(membership::makeGossipEntry(report));
    // Crashes are rare, and all nodes must know the suspects before the next crash. Regular gossip rounds
    // would be too slow, so every node is sent the reports directly.
    for (const auto& vm : m_vmDirectory.liveInDataCentre(m_config.dataCentre)) {
        if (vm != m_config.self)
            send(vm, message, context);
    }
    for (const auto& entry : message.entries)
        mergeGossipEntry(entry, context);
}

} // namespace redwingseam::node
