#pragma once

#include "redwingseam/base/Instant.h"
#include "redwingseam/base/Mutex.h"
#include "sync/UpstreamListing.h"

#include <memory>
#include <mutex>

namespace redwingseam::sync {

// The newest list of upstreams that the node knows, whether from the store or from another node.
// Thread-safe.
class UpstreamBoard {
public:
    // Takes a list that is not older than the held one. Returns whether it was taken.
    bool post(UpstreamListing listing)
    {
        std::lock_guard guard(m_mutex);
        bool isOlder = m_listing && listing.list->revision < m_listing->list->revision;
        if (isOlder)
            return false;
        if (m_listing && listing.list->revision == m_listing->list->revision && listing.readAt < m_listing->readAt)
            return false;
        m_listing = std::move(listing);
        return true;
    }

    std::optional<UpstreamListing> listing() const
    {
        std::lock_guard guard(m_mutex);
        return m_listing;
    }

private:
    mutable base::Mutex m_mutex;
    std::optional<UpstreamListing> m_listing;
};

} // namespace redwingseam::sync
