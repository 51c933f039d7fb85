#pragma once

#include "redwingseam/base/Mutex.h"
#include "sync/UpstreamDelta.h"
#include "sync/UpstreamListing.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace redwingseam::sync {

// The newest list of upstreams that the node knows, whether from the store or from another node, and those before it,
// so that other nodes can be told only what changed. Thread-safe.
class UpstreamBoard {
public:
    // Takes a list that is not older than the held one. Returns whether it was taken.
    bool post(UpstreamListing);
    std::optional<UpstreamListing> listing() const;
    // What changed since the list of `revision`; null if that one is not held any more.
    std::shared_ptr<const UpstreamDelta> changesSince(uint64_t revision);

private:
    using ListPointer = std::shared_ptr<const UpstreamList>;

    // Nodes ask several times a second, and lists change about as often.
    static constexpr size_t mostEarlier = 12;

    mutable base::Mutex m_mutex;
    std::optional<UpstreamListing> m_listing;
    std::deque<ListPointer> m_earlier;
    // To the held list, by the revision that they go from. Many nodes ask from the same one.
    std::map<uint64_t, std::shared_ptr<const UpstreamDelta>> m_deltas;
};

} // namespace redwingseam::sync
