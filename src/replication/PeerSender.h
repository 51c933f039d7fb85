#pragma once

#include "peer/PeerClient.h"
#include "redwingseam/base/BootClock.h"
#include "replication/MessageCodec.h"
#include "replication/OutgoingMessage.h"

namespace redwingseam::replication {

// Encodes and sends messages to other nodes. Thread-safe.
class PeerSender {
public:
    void sendAll(const OutgoingMessages& outgoing)
    {
        auto now = base::BootClock {}.now();
        for (const auto& item : outgoing)
            m_client.send(item.address, formatMessage(item.message, now));
    }

private:
    peer::PeerClient m_client;
};

} // namespace redwingseam::replication
