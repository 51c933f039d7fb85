#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"
#include "replication/LinkProbe.h"
#include "replication/OfferedState.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace redwingseam::replication {

// The request of this node for the full state of another one. There is one at a time, because copies that travel side by
// side delay each other and each is held in memory at both ends. A request without a result is repeated after
// an interval that doubles, so that a slow link carries the state in the end. The first interval follows from the time that
// earlier transfers took.
//
// A request is repeated sooner if its reply was lost, as with a connection that was reset. A LinkProbe tells such a reply from
// one that is still on its way over a slow link. Not synchronised.
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
        m_probeSequence.reset();
        m_startedAt = now;
        m_probedAt = now;
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
        if (hasState) {
            m_lastDuration = std::max(duration, m_lastDuration / 2);
            m_lostReplies = 0;
        }
        if (m_sequence == sequence)
            m_sequence.reset();
    }

    // Returns whether the next query to `peer` should ask for a LinkProbe.
    bool isProbeDue(const base::VmName& peer, base::Instant now) const
    {
        auto interval = m_probeSequence ? probeTimeout : probeInterval;
        return m_sequence && peer == m_peer && m_lostReplies < maxLostReplies && now - m_probedAt >= interval;
    }

    void beginProbe(uint64_t sequence, base::Instant now)
    {
        m_probeSequence = sequence;
        m_probedAt = now;
    }

    // Records a probe, which came `duration` after its query. Returns whether it shows that the state was lost, which ends the
    // transfer: the peer sent none since the request, or the link would have carried it by now.
    bool recordProbe(uint64_t sequence, const LinkProbe& probe, base::Duration duration, base::Instant now)
    {
        if (!m_sequence || m_probeSequence != sequence || probe.padding.size() < LinkProbe::paddingBytes)
            return false;
        m_probeSequence.reset();
        bool wasSent = probe.stateSequence == *m_sequence;
        if (wasSent && now - m_startedAt < expectedDuration(probe, duration))
            return false;
        m_sequence.reset();
        ++m_lostReplies;
        return true;
    }

    // The longest time after which the reply to a request may still arrive.
    static constexpr base::Duration maxTimeout = std::chrono::seconds(32);

private:
    static constexpr base::Duration initialTimeout = std::chrono::seconds(2);
    // Most transfers end sooner, without a probe.
    static constexpr base::Duration probeInterval = std::chrono::seconds(1);
    // As long as the reply to a query is awaited.
    static constexpr base::Duration probeTimeout = std::chrono::seconds(2);
    // A link that loses all large messages is not to be filled with them.
    static constexpr unsigned maxLostReplies = 3;
    // The link may have been slower during the transfer than it was for the probe.
    static constexpr int64_t durationMargin = 2;

    // The time that the probe took includes the round trip, so this is too long rather than too short.
    static base::Duration expectedDuration(const LinkProbe& probe, base::Duration duration)
    {
        auto probes = static_cast<int64_t>(std::min<uint64_t>(probe.stateBytes, maxStateBytes) / probe.padding.size()) + 1;
        return std::min(duration, maxTimeout) * probes * durationMargin;
    }

    // Bounds the result for any probe.
    static constexpr uint64_t maxStateBytes = uint64_t { 1 } << 30;

    std::optional<uint64_t> m_sequence;
    base::VmName m_peer;
    OfferedState m_offered;
    std::optional<uint64_t> m_probeSequence;
    base::Instant m_startedAt {};
    base::Instant m_probedAt {};
    // In a row.
    unsigned m_lostReplies = 0;
    base::Duration m_timeout = initialTimeout;
    // How long the last replies with state took, with the longer ones fading.
    base::Duration m_lastDuration {};
};

} // namespace redwingseam::replication
