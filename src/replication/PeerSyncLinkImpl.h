#pragma once

// The part of a PeerSync that gathers evidence for this node's own link.

#include "replication/PeerSync.h"

namespace redwingseam::replication {

template<ManifestParser Parser>
void PeerSync<Parser>::recordAsked(const sync::NodeRecord& node, base::Duration interval, base::Instant now)
{
    if (m_directory.hasMessageWithin(node.name, interval * 3 / 2, now))
        m_fleet.recordPeerAsked(now);
}

template<ManifestParser Parser>
void PeerSync<Parser>::checkOwnLink(OutgoingMessages& outgoing, base::Instant now)
{
    if (now - m_lastLinkCheck < hubQueryInterval || !m_fleet.isPeerOverdue(now))
        return;
    auto witness = m_directory.neighbourAfter(m_lastLinkWitness, now);
    if (!witness)
        return;
    m_lastLinkCheck = now;
    m_lastLinkWitness = witness->name;
    outgoing.push_back(makeQuery(*witness, loadsFor(*witness, now), now));
    m_pendingQueries[m_sequence].isLinkCheck = true;
}

} // namespace redwingseam::replication
