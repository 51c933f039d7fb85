#pragma once

#include "redwingseam/base/Mutex.h"
#include "sync/UpstreamDelta.h"
#include "sync/UpstreamSnapshot.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace redwingseam::sync {

// The newest list of upstreams that the node knows, whether from the store or from another node, and those before it,
// so that other nodes can be told only what changed. Thread-safe.
class UpstreamListCache {
public:
    // Takes a list that is not older than the held one. Returns whether it was taken.
    bool update(UpstreamSnapshot);
    std::optional<UpstreamSnapshot> snapshot() const;
    // What changed since the list of `revision`; null if that one is not held any more.
    std::shared_ptr<const UpstreamDelta> changesSince(uint64_t revision);

private:
    using ListPointer = std::shared_ptr<const UpstreamList>;

    // Nodes ask several times a second, and lists change about as often.
    static constexpr size_t maxEarlierLists = 12;

    mutable base::Mutex m_mutex;
    std::optional<UpstreamSnapshot> m_snapshot;
    std::deque<ListPointer> m_earlierLists;
    // To the held list, by the revision that they go from. Many nodes ask from the same one.
    std::map<uint64_t, std::shared_ptr<const UpstreamDelta>> m_deltas;
};

} // namespace redwingseam::sync
