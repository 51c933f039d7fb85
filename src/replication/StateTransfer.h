#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"
#include "replication/OfferedState.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace redwingseam::replication {

// The request of this node for the full state of another one. There is one at a time, because copies that travel side by
// side delay each other and each is held in memory at both ends. A request without a result is repeated after
// an interval that doubles, so that a slow link carries the state in the end. The first interval follows from the time that
// earlier transfers took. Not synchronised.
class StateTransfer {
public:
    // Returns whether the reply may still arrive. A peer that seems dead, which one behind a full link does at times, is given
    // the shortest interval.
    bool isInProgress(base::Instant now, bool isPeerLive) const { return m_sequence && now - m_startedAt < (isPeerLive ? m_timeout : initialTimeout); }

    // `offered` are the versions that the peer holds.
    void begin(uint64_t sequence, const base::VmName& peer, OfferedState offered, base::Instant now)
    {
        // The wait for a peer that died says nothing about the next one.
        bool isRepeated = m_sequence && now - m_startedAt >= m_timeout;
        m_timeout = isRepeated ? std::min(m_timeout * 2, maxTimeout) : std::clamp(m_lastDuration * 2, initialTimeout, maxTimeout);
        m_sequence = sequence;
        m_startedAt = now;
        m_peer = peer;
        m_offered = offered;
    }

    // Ends the transfer if the peer now holds older state in a reply to a later request: it has restarted, and what it was
    // sending is lost.
    void recordOffer(uint64_t sequence, const base::VmName& peer, OfferedState offered)
    {
        bool isLater = m_sequence && sequence > *m_sequence && peer == m_peer;
        if (isLater && (offered.manifestVersion < m_offered.manifestVersion || offered.listVersion < m_offered.listVersion))
            m_sequence.reset();
    }

    // The node that the newest request went to.
    const base::VmName& peer() const { return m_peer; }

    // Records a reply, which came `duration` after its request. A late reply to an earlier request does not end the transfer, since
    // the reply to the newest request is on its way behind it.
    void recordReply(uint64_t sequence, bool hasState, base::Duration duration)
    {
        if (hasState)
            m_lastDuration = std::max(duration, m_lastDuration / 2);
        if (m_sequence == sequence)
            m_sequence.reset();
    }

    // The longest time after which the reply to a request may still arrive.
    static constexpr base::Duration maxTimeout = std::chrono::seconds(32);

private:
    static constexpr base::Duration initialTimeout = std::chrono::seconds(2);

    std::optional<uint64_t> m_sequence;
    base::VmName m_peer;
    OfferedState m_offered;
    base::Instant m_startedAt {};
    base::Duration m_timeout = initialTimeout;
    // How long the last replies with state took, with the longer ones fading.
    base::Duration m_lastDuration {};
};

} // namespace redwingseam::replication
