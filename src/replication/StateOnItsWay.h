#pragma once

#include "replication/StateQuery.h"
#include "replication/StateReply.h"

#include <algorithm>

namespace redwingseam::replication {

// The full state that was last sent to a node of the earlier release, which asks for it with each query until it has arrived. It is
// sent again after an interval that doubles. Not synchronised.
class StateOnItsWay {
public:
    // Returns whether the sender of the query need not be sent state yet.
    bool covers(const StateQuery& query, base::Instant now) const
    {
        bool hasArrived = query.manifestVersion >= m_manifestVersion && query.listVersion.revision >= m_listRevision;
        bool isSameProcess = query.sequence > m_sequence;
        return m_sequence && !hasArrived && isSameProcess && now - m_sentAt < m_interval;
    }

    void record(const StateQuery& query, const StateReply& reply, base::Instant now)
    {
        bool isRepeated = m_sequence && query.manifestVersion < m_manifestVersion;
        m_interval = isRepeated ? std::min(m_interval * 2, maxInterval) : initialInterval;
        m_sequence = query.sequence;
        m_manifestVersion = reply.manifestText.empty() ? 0 : reply.manifestVersion;
        m_listRevision = reply.list ? reply.listVersion.revision : 0;
        m_sentAt = now;
    }

private:
    // After this time the earlier release ignores a reply.
    static constexpr base::Duration initialInterval = std::chrono::seconds(2);
    static constexpr base::Duration maxInterval = std::chrono::seconds(32);

    uint64_t m_sequence = 0;
    uint64_t m_manifestVersion = 0;
    uint64_t m_listRevision = 0;
    base::Instant m_sentAt {};
    base::Duration m_interval = initialInterval;
};

} // namespace redwingseam::replication
