#pragma once

#include "base/Hash.h"
#include "node/Placement.h"
#include "redwingseam/route/CacheEvent.h"
#include "redwingseam/route/LoadReport.h"
#include "route/Chooser.h"
#include "schedule/WorkQueue.h"

#include <algorithm>
#include <unordered_map>

namespace redwingseam::node {

// Upstreams that serve the same work, and the work queued for them. Not thread-safe; the lock of its shard
// protects it. `Queue` chooses the next work and `UpstreamChooser` the upstream.
template<schedule::WorkQueue Queue, route::Chooser UpstreamChooser>
class Pool {
public:
    explicit Pool(UpstreamChooser chooser)
        : m_chooser(std::move(chooser))
    {
    }

    Queue& queue() { return m_queue; }
    const Queue& queue() const { return m_queue; }
    const std::vector<route::UpstreamView>& upstreams() const { return m_upstreams; }
    route::PrefixIndex& prefixes() { return m_prefixes; }

    // Adds or updates an upstream. `linkTier` is 0 within the data centre and 1 outside it.
    // `nodesSharing` is the number of nodes that send work to the upstream. A new incarnation or slot
    // count resets its load, concurrency limit and down mark.
    void upsert(const route::UpstreamRecord& record, uint32_t linkTier, uint32_t nodesSharing)
    {
        auto* view = find(record.name);
        if (!view) {
            m_indices.emplace(record.name, static_cast<uint32_t>(m_upstreams.size()));
            m_upstreams.push_back({ record, makeLimit(record, nodesSharing), linkTier, false, 0, 0, 0, {} });
        } else if (view->record.incarnation != record.incarnation || view->record.slots != record.slots) {
            view->record = record;
            view->limit = makeLimit(record, nodesSharing);
            view->isDown = false;
            view->reportedLoad = 0;
            view->ownRequestsAtReport = 0;
        } else {
            view->record = record;
        }
        removeGone();
        m_chooser.rebuild(m_upstreams);
    }

    // Sets the share of the slots, in thousandths, on which deferrable work is not preempted.
    void setDeferrableFloor(int64_t permille) { m_deferrableFloorPermille = permille; }

    void push(schedule::QueuedWork work) { m_queue.push(std::move(work)); }

    // Removes the next work from the queue and reserves a slot for it, if an upstream has a free one. Nothing is
    // sent yet. A slot whose work is not started must be released.
    std::optional<Placement> next(base::Instant now, std::minstd_rand& random)
    {
        std::optional<schedule::QueuedWork> work;
        if (hasFreeSlot(base::Rank::Deferrable))
            work = m_queue.pop(base::Rank::Deferrable);
        else if (hasFreeSlot(base::Rank::Urgent))
            work = m_queue.pop(base::Rank::Urgent);
        if (work)
            return place(*work, now, random);
        return nextResume(now);
    }

    // Returns the upstreams with state Live at the nearest link tier, sorted by name so that all nodes
    // get the same order. Some may be down.
    std::vector<const route::UpstreamView*> liveUpstreamsByName() const
    {
        std::vector<const route::UpstreamView*> views;
        uint32_t nearest = UINT32_MAX;
        for (const auto& view : m_upstreams) {
            if (view.record.state != route::UpstreamState::Live || view.linkTier > nearest)
                continue;
            if (view.linkTier < nearest)
                views.clear();
            nearest = view.linkTier;
            views.push_back(&view);
        }
        std::sort(views.begin(), views.end(), [](const auto* a, const auto* b) { return a->record.name < b->record.name; });
        return views;
    }

    // Reserves a slot for work at one upstream, even if all its slots are taken. Returns nothing if the
    // upstream takes no work.
    std::optional<Placement> placeAt(const schedule::QueuedWork& work, const base::UpstreamName& upstream, base::Instant now)
    {
        auto* view = find(upstream);
        if (!view || !view->takesWork())
            return std::nullopt;
        view->inFlight.push_back({ work.request, work.rank, work.isSuspect, work.isFloorGrant, now });
        return Placement { work, view->record, std::nullopt };
    }

    // Releases the slot of a request. Returns whether the request held one.
    bool release(const base::UpstreamName& upstream, base::RequestId request)
    {
        auto* view = find(upstream);
        if (!view)
            return false;
        return std::erase_if(view->inFlight, [&](const route::InFlightRequest& entry) { return entry.request == request; }) > 0;
    }

    // Stops dispatching to an upstream until its next load report. Requests in flight there continue.
    // Returns whether the upstream was up before.
    bool markDown(const base::UpstreamName& upstream)
    {
        auto* view = find(upstream);
        return view && !std::exchange(view->isDown, true);
    }

    void observe(const route::LoadReport& report)
    {
        auto* view = find(report.upstream);
        if (!view)
            return;
        view->isDown = false;
        view->reportedLoad = report.running + report.waiting;
        view->ownRequestsAtReport = view->ownRequests();
        view->limit.observe(report.running, report.waiting, view->ownRequests());
    }

    void observe(const route::CacheEvent& event)
    {
        auto found = m_indices.find(event.upstream);
        if (found == m_indices.end())
            return;
        if (event.isStored)
            m_prefixes.add(event.prefixHash, found->second);
        else
            m_prefixes.remove(event.prefixHash, found->second);
    }

    // Updates the moving average of the time between tokens of an upstream. Returns whether the upstream is
    // marked down.
    bool observeTokenInterval(const base::UpstreamName& upstream, base::Duration interval)
    {
        static constexpr int64_t averagingDivisor = 16;
        auto* view = find(upstream);
        if (!view)
            return false;
        view->tokenGap = view->tokenGap ? view->tokenGap + (interval.count() - view->tokenGap) / averagingDivisor : interval.count();
        return view->isDown;
    }

    // Returns the deferrable stream to preempt for queued urgent work: the youngest one, which loses the
    // least progress. Returns nothing while a slot is free or while deferrable work holds no more than
    // its floor.
    std::optional<route::InFlightRequest> preemptionVictim() const
    {
        if (!m_queue.waiting(base::Rank::Urgent) || hasFreeSlot(base::Rank::Urgent))
            return std::nullopt;
        if (!canPreemptDeferrable())
            return std::nullopt;
        std::optional<route::InFlightRequest> youngest;
        for (const auto& view : m_upstreams) {
            auto entry = youngestDeferrable(view);
            if (entry && (!youngest || entry->startedAt > youngest->startedAt))
                youngest = entry;
        }
        return youngest;
    }

    // Removes and returns the queued work whose deadline has passed. Work with `isResume` does not expire.
    std::vector<schedule::QueuedWork> expire(base::Instant now)
    {
        return m_queue.expire(now);
    }

    bool remove(base::RequestId request) { return m_queue.remove(request); }

    bool hasLiveUpstream() const
    {
        return std::any_of(m_upstreams.begin(), m_upstreams.end(), [](const auto& view) { return view.record.state == route::UpstreamState::Live; });
    }

    // Returns the number of slots that this node may use now.
    uint32_t capacity() const
    {
        uint32_t slots = 0;
        for (const auto& view : m_upstreams)
            slots += view.takesWork() ? view.limit.value() : 0;
        return slots;
    }

private:
    route::ConcurrencyLimit makeLimit(const route::UpstreamRecord& record, uint32_t nodesSharing) const
    {
        return { record.slots, nodesSharing, base::hashBytes(record.name.text, m_chooser.nodeHash()) };
    }

    route::UpstreamView* find(const base::UpstreamName& name)
    {
        auto found = m_indices.find(name);
        return found == m_indices.end() ? nullptr : &m_upstreams[found->second];
    }

    bool hasFreeSlot(base::Rank rank) const
    {
        return std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto& view) { return view.hasFreeSlot(rank); });
    }

    // Work with `isResume` may use any free slot, even beyond this node's share, because its caller is
    // waiting. The slots of a lost VM become free before any node has detected the loss.
    std::optional<Placement> nextResume(base::Instant now)
    {
        const route::UpstreamView* best = nullptr;
        for (const auto& view : m_upstreams) {
            bool isFree = view.takesWork() && view.estimatedLoad() < view.record.slots;
            bool isBetter = isFree && (!best || std::pair(view.linkTier, view.estimatedLoad()) < std::pair(best->linkTier, best->estimatedLoad()));
            if (isBetter)
                best = &view;
        }
        if (!best)
            return std::nullopt;
        auto work = m_queue.popResume();
        if (!work)
            return std::nullopt;
        return placeAt(*work, base::UpstreamName(best->record.name), now);
    }

    // Reserves a slot for work at the upstream that the chooser selects.
    std::optional<Placement> place(const schedule::QueuedWork& work, base::Instant now, std::minstd_rand& random)
    {
        auto index = m_chooser.choose(m_upstreams, m_prefixes, work, random);
        if (!index)
            return std::nullopt;
        auto& view = m_upstreams[*index];
        view.inFlight.push_back({ work.request, work.rank, work.isSuspect, work.isFloorGrant, now });
        // Other nodes may have filled the upstream. Urgent work then preempts a deferrable stream of
        // this node.
        bool mustPreempt = work.rank == base::Rank::Urgent && view.estimatedLoad() >= view.record.slots && canPreemptDeferrable();
        for (auto hash : work.prefixHashes)
            m_prefixes.add(hash, *index);
        return Placement { work, view.record, mustPreempt ? youngestDeferrable(view) : std::nullopt };
    }

    static std::optional<route::InFlightRequest> youngestDeferrable(const route::UpstreamView& view)
    {
        std::optional<route::InFlightRequest> youngest;
        for (const auto& entry : view.inFlight) {
            bool isYounger = entry.rank == base::Rank::Deferrable && !entry.isFloorGrant && (!youngest || entry.startedAt > youngest->startedAt);
            if (isYounger)
                youngest = entry;
        }
        return youngest;
    }

    // Returns whether deferrable work would still hold its floor after one stream of it is preempted.
    bool canPreemptDeferrable() const
    {
        int64_t slots = 0;
        int64_t deferrable = 0;
        for (const auto& view : m_upstreams) {
            slots += view.takesWork() ? view.limit.value() : 0;
            deferrable += view.ownRequestsOfRank(base::Rank::Deferrable);
        }
        return deferrable && (deferrable - 1) * 1000 >= slots * m_deferrableFloorPermille;
    }

    // Removes upstreams with state Gone and no requests in flight once they are more than a quarter of
    // all. Removal changes the indices, so the prefix index is cleared.
    void removeGone()
    {
        auto isRemovable = [](const route::UpstreamView& view) { return view.record.state == route::UpstreamState::Gone && view.inFlight.empty(); };
        auto removable = static_cast<size_t>(std::count_if(m_upstreams.begin(), m_upstreams.end(), isRemovable));
        if (removable * 4 <= m_upstreams.size())
            return;
        std::erase_if(m_upstreams, isRemovable);
        m_prefixes = {};
        m_indices.clear();
        for (uint32_t index = 0; index < m_upstreams.size(); ++index)
            m_indices.emplace(m_upstreams[index].record.name, index);
    }

    Queue m_queue;
    int64_t m_deferrableFloorPermille = 0;
    UpstreamChooser m_chooser;
    std::vector<route::UpstreamView> m_upstreams;
    std::unordered_map<base::UpstreamName, uint32_t> m_indices;
    route::PrefixIndex m_prefixes;
};

} // namespace redwingseam::node
