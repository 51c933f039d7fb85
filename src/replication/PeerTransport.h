#pragma once

#include "base/Ticker.h"
#include "peer/PeerServer.h"
#include "replication/PeerMessageDispatcher.h"

#include <memory>

namespace redwingseam::replication {

// Sends and receives the messages of a PeerSync over HTTP/2 connections between nodes.
template<typename Sync>
class PeerTransport {
public:
    explicit PeerTransport(Sync& sync)
        : m_sync(sync)
        , m_handler(sync, m_sender)
        , m_server(m_handler)
    {
    }

    // Starts listening and ticking. Returns false if the address is in use.
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
    PeerMessageDispatcher<Sync> m_handler;
    peer::PeerServer<PeerMessageDispatcher<Sync>> m_server;
    std::unique_ptr<base::Ticker> m_ticker;
};

} // namespace redwingseam::replication
