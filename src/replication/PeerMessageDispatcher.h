#pragma once

#include "log/LogLine.h"
#include "replication/PeerSender.h"

#include <glog/logging.h>

namespace redwingseam::replication {

// Decodes messages from other nodes, passes them to a PeerSync and sends the messages that it returns.
template<typename Sync>
class PeerMessageDispatcher {
public:
    PeerMessageDispatcher(Sync& sync, PeerSender& sender)
        : m_sync(sync)
        , m_sender(sender)
    {
    }

    void onPeerMessage(const std::string& bytes)
    {
        auto now = base::BootClock {}.now();
        if (auto message = parseMessage(bytes, now))
            m_sender.sendAll(m_sync.handle(*message, now));
        else
            LOG(WARNING) << log::LogLine("peer_message_unreadable").with("bytes", bytes.size()).text();
    }

private:
    Sync& m_sync;
    PeerSender& m_sender;
};

} // namespace redwingseam::replication
