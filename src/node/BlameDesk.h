#pragma once

#include "redwingseam/base/Mutex.h"
#include "redwingseam/membership/VerdictRecord.h"
#include "route/BlameBook.h"

#include <mutex>
#include <span>
#include <vector>

namespace redwingseam::node {

// The node's blame book behind a lock. Thread-safe.
class BlameDesk {
public:
    route::Verdict verdict(base::Fingerprint);
    std::vector<membership::VerdictRecord> onUpstreamLost(const route::DeathId&, std::span<const route::Casualty>, base::Instant now);
    void learn(const membership::VerdictRecord&, base::Instant now);
    std::vector<membership::VerdictRecord> judge(base::Instant now);
    void disprove(const route::DeathId&);
    void clear(base::Fingerprint);
    bool isHeard(base::Fingerprint);
    base::Instant hearingEnd(base::Fingerprint);
    route::SuspectPlace place(base::Fingerprint);
    void expire(base::Instant now);

private:
    base::Mutex m_mutex;
    route::BlameBook m_book;
};

} // namespace redwingseam::node
