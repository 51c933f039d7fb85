#pragma once

#include "redwingseam/base/Mutex.h"
#include "redwingseam/membership/VerdictRecord.h"
#include "route/BlameBook.h"

#include <mutex>
#include <span>
#include <unordered_map>
#include <vector>

namespace redwingseam::node {

// The node's blame book, joined with what peers found. Thread-safe.
class BlameDesk {
public:
    route::Verdict verdict(base::Fingerprint);
    std::vector<route::VerdictChange> onUpstreamLost(const base::UpstreamName&, std::span<const route::Casualty>, base::Instant now);
    // Takes in a peer's verdict. A fingerprint that was in flight at the deaths of two different
    // upstreams, seen from two VMs, is convicted. Returns whether it is convicted by this.
    bool learn(const membership::VerdictRecord&, base::Instant now);
    void expire(base::Instant now);

private:
    base::Mutex m_mutex;
    route::BlameBook m_book;
    // Upstream whose death first raised this node's own suspicion.
    std::unordered_map<base::Fingerprint, base::UpstreamName> m_ownDeaths;
};

} // namespace redwingseam::node
