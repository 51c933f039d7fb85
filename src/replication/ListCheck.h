#pragma once

#include "replication/NodeDirectory.h"
#include "replication/OriginReply.h"
#include "sync/StoreVersion.h"

#include <cstdint>
#include <map>
#include <vector>

namespace redwingseam::replication {

// A check whether other nodes hold a newer list of upstreams than this node. It needs replies from more than half of the data
// centres, so that neither a node nor a group of nodes that is cut off from the others passes it, and the reply of the node that
// reads the store for the others, since it may know a list that none of them has received. Not synchronised.
class ListCheck {
public:
    // Begins a check with the witnesses, which `self` is none of. `isReader` is that of this node.
    void begin(const sync::NodeRecord& self, bool isReader, const std::vector<sync::NodeRecord>& witnesses, base::Instant now);
    // Returns whether a check is in progress, which may still succeed.
    bool isInProgress(base::Instant now) const { return m_beganAt != base::Instant {} && now - m_beganAt < maxDuration; }
    void end() { m_beganAt = {}; }
    // Returns whether the replies so far tell that `held` is as new as the lists of the other nodes.
    bool hasSucceeded(sync::StoreVersion held, base::Instant now) const;
    // Ignores replies to earlier checks.
    void recordReply(const OriginReply&);

    // Identifies the check, also after a restart of the process. 0 if there is none.
    uint64_t sequence() const { return static_cast<uint64_t>(m_beganAt.time_since_epoch().count()); }
    base::Instant beganAt() const { return m_beganAt; }
    sync::StoreVersion newest() const { return m_newest; }
    size_t witnessCount() const { return m_witnessCount; }
    size_t replyCount() const { return m_replyCount; }

private:
    // Several round trips between regions. Later, the nodes that have not replied are taken for gone.
    static constexpr base::Duration replyTime = std::chrono::milliseconds(300);
    // Longer than it takes to receive a list that the other nodes hold already.
    static constexpr base::Duration maxDuration = std::chrono::milliseconds(600);

    base::Instant m_beganAt {};
    // Whether a node of the data centre has replied.
    std::map<base::DataCentreName, bool> m_hasReplied;
    size_t m_witnessCount = 0;
    size_t m_replyCount = 0;
    bool m_hasReaderReplied = false;
    sync::StoreVersion m_newest;
};

} // namespace redwingseam::replication
