#pragma once

#include "peer/PeerClient.h"
#include "peering/MessageCodec.h"
#include "peering/Outgoing.h"
#include "redwingseam/base/BootClock.h"

namespace redwingseam::peering {

// Encodes and sends messages to other nodes. Thread-safe.
class PeerSender {
public:
    void sendAll(const OutgoingList& outgoing)
    {
        auto now = base::BootClock {}.now();
        for (const auto& item : outgoing)
            m_client.send(item.address, formatMessage(item.message, now));
    }

private:
    peer::PeerClient m_client;
};

} // namespace redwingseam::peering
