#pragma once

#include "base/Ticker.h"
#include "peer/PeerServer.h"
#include "peering/PeerIntake.h"

#include <memory>

namespace redwingseam::peering {

// Carries the messages of a PeerSync over HTTP/2 connections between nodes.
template<typename Sync>
class PeerLoop {
public:
    explicit PeerLoop(Sync& sync)
        : m_sync(sync)
        , m_intake(sync, m_sender)
        , m_server(m_intake)
    {
    }

    // Starts to listen. Returns false if the address is taken.
    bool start(const http::SocketAddress& address)
    {
        if (!m_server.start(address))
            return false;
        m_ticker = std::make_unique<base::Ticker>("peering", Sync::tickInterval, [this] { m_sender.sendAll(m_sync.tick(base::BootClock {}.now())); });
        return true;
    }

private:
    Sync& m_sync;
    PeerSender m_sender;
    PeerIntake<Sync> m_intake;
    peer::PeerServer<PeerIntake<Sync>> m_server;
    std::unique_ptr<base::Ticker> m_ticker;
};

} // namespace redwingseam::peering
