#pragma once

#include "forward/CrashEvent.h"
#include "forward/CrashRecord.h"
#include "forward/HarmfulRequest.h"
#include "redwingseam/base/Sharded.h"

#include <unordered_map>
#include <vector>

namespace redwingseam::forward {

// Requests that upstreams broke under, by what makes two requests the same work, whoever sends them and at
// whichever node. After `harmfulAfter` crashes in a row the request is not sent any more. Thread-safe.
//
// A crash counts only if the attempt was sent after the crash before it, so upstreams that fail together count
// once; a request that brought anything starts anew.
class CrashRegister {
public:
    // A crash that this node saw; told to the other nodes.
    void note(const CrashEvent&);
    // Another node's word.
    void learn(const CrashEvent&);
    void learn(const HarmfulRequest&);
    // The request brought an event or an answer.
    void noteServed(base::Fingerprint);

    // Whether upstreams broke under the request before.
    bool isSuspect(base::Fingerprint, base::Instant now);
    bool isHarmful(base::Fingerprint, base::Instant now);

    // Crashes that this node saw since the last call.
    std::vector<CrashEvent> takeNews();
    std::vector<HarmfulRequest> harmful(base::Instant now);

    // Innocent requests lose a connection or two when upstreams fail one after the other.
    static constexpr unsigned harmfulAfter = 3;

private:
    using Records = std::unordered_map<base::Fingerprint, CrashRecord>;

    unsigned crashesOf(base::Fingerprint, base::Instant now);
    static void makeRoom(Records&);

    // How long a client may go on repeating a request that harms.
    static constexpr base::Duration keptFor = std::chrono::hours(1);
    // Bounds the memory in a long outage.
    static constexpr size_t mostRecordsInShard = 256;
    static constexpr size_t mostNews = 256;

    base::Sharded<Records> m_records;
    base::Mutex m_newsMutex;
    std::vector<CrashEvent> m_news;
};

} // namespace redwingseam::forward
