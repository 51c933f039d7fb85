#pragma once

#include "redwingseam/base/Mutex.h"
#include "sync/UpstreamDelta.h"
#include "sync/UpstreamSnapshot.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace redwingseam::sync {

// Holds the newest list of upstreams, received from the store or from another node. It also keeps some earlier lists, so
// that only the difference needs to be sent to other nodes. Thread-safe.
class UpstreamListCache {
public:
    // Replaces the current snapshot unless the new one has an earlier version, or the same version and an earlier
    // confirmation. Returns whether it was replaced.
    bool update(UpstreamSnapshot);
    std::optional<UpstreamSnapshot> snapshot() const;
    // Returns the difference from the list of `version` to the newest one, or null if that list is no longer kept.
    std::shared_ptr<const UpstreamDelta> deltaSince(StoreVersion version);

private:
    using ListPointer = std::shared_ptr<const UpstreamList>;

    // Nodes query several times a second, and the list changes about as often.
    static constexpr size_t maxEarlierLists = 12;

    mutable base::Mutex m_mutex;
    std::optional<UpstreamSnapshot> m_snapshot;
    std::deque<ListPointer> m_earlierLists;
    // Deltas to the current list, keyed by their start version. They are cached because many nodes ask for the same
    // one.
    std::map<StoreVersion, std::shared_ptr<const UpstreamDelta>> m_deltas;
};

} // namespace redwingseam::sync
