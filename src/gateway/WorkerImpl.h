#pragma once

#include "gateway/Worker.h"

namespace redwingseam::gateway {

template<HeaderCodec Codec>
void Worker<Codec>::addConnection(base::FileDescriptor socket)
{
    ++m_state.openClients;
    {
        std::lock_guard guard(m_mutex);
        m_pendingSockets.push_back(std::move(socket));
    }
    m_loop.wake();
}

template<HeaderCodec Codec>
void Worker<Codec>::stop()
{
    m_isStopping = true;
    m_loop.wake();
    m_thread.join();
    // Sessions refer to clients and to the connection pool, so they are destroyed first.
    m_sessions.clear();
    m_retiredSessions.clear();
    m_clients.clear();
}

template<HeaderCodec Codec>
void Worker<Codec>::run()
{
    while (!m_isStopping) {
        bool isBusy = !m_sessions.empty() || m_state.isClosingConnections;
        m_loop.runOnce(isBusy ? sessionTickInterval : idleTickInterval);
        addPendingClients();
        auto now = base::BootClock {}.now();
        tickSessions(now);
        tickIdle(now);
        if (m_state.isClosingConnections)
            closeIdleClients();
        deleteRetired();
    }
}

template<HeaderCodec Codec>
void Worker<Codec>::addPendingClients()
{
    std::vector<base::FileDescriptor> pending;
    {
        std::lock_guard guard(m_mutex);
        pending.swap(m_pendingSockets);
    }
    auto now = base::BootClock {}.now();
    for (auto& socket : pending) {
        auto client = std::make_unique<Client>(m_loop, *this, std::move(socket), now);
        auto* key = client.get();
        m_clients.emplace(key, std::move(client));
    }
}

template<HeaderCodec Codec>
manifest::ClientLimits Worker<Codec>::clientLimits() const
{
    auto manifestState = m_state.manifest.state();
    return manifestState.index ? manifestState.index->manifest().limits : manifest::ClientLimits {};
}

template<HeaderCodec Codec>
void Worker<Codec>::tickSessions(base::Instant now)
{
    auto sinceLastTick = now - m_lastSessionTick;
    if (sinceLastTick < sessionTickInterval)
        return;
    bool wasPaused = m_lastSessionTick != base::Instant {} && sinceLastTick > maxTickDelay;
    auto pause = wasPaused ? sinceLastTick - sessionTickInterval : base::Duration {};
    m_lastSessionTick = now;
    std::vector<ClientSession*> current;
    current.reserve(m_sessions.size());
    for (const auto& [client, session] : m_sessions)
        current.push_back(session.get());
    // A session that ends during this loop is deleted only after the loop.
    for (auto* session : current) {
        if (m_state.isAbandoningRequests)
            session->abandon();
        else
            session->tick(now, pause);
    }
}

template<HeaderCodec Codec>
void Worker<Codec>::tickIdle(base::Instant now)
{
    if (now - m_lastIdleTick < idleTickInterval)
        return;
    m_lastIdleTick = now;
    m_state.heap.update(m_state.buffers.takePeakBytes(), m_state.buffers.usedBytes(), now);
    m_connectionPool.tick(now);
    std::vector<Client*> current;
    current.reserve(m_clients.size());
    for (const auto& [key, client] : m_clients)
        current.push_back(key);
    for (auto* client : current)
        client->tick(now);
}

template<HeaderCodec Codec>
void Worker<Codec>::closeIdleClients()
{
    std::vector<Client*> idle;
    for (const auto& [key, client] : m_clients) {
        if (client->isIdle() && !client->hasUnreadInput())
            idle.push_back(key);
    }
    for (auto* client : idle)
        client->disconnect();
}

template<HeaderCodec Codec>
void Worker<Codec>::deleteRetired()
{
    m_retiredSessions.clear();
    m_retiredUpstreams.clear();
    m_retiredClients.clear();
}

template<HeaderCodec Codec>
void Worker<Codec>::onRequest(Client& client, typename Client::Request message)
{
    auto session = std::make_unique<ClientSession>(*this, client, std::move(message), base::BootClock {}.now());
    auto* current = session.get();
    m_sessions[&client] = std::move(session);
    ++m_state.activeSessions;
    current->begin();
}

template<HeaderCodec Codec>
bool Worker<Codec>::turnAwayHeavier(const Client& asking, size_t bytes)
{
    auto now = base::BootClock {}.now();
    Client* heaviest = nullptr;
    for (const auto& [key, client] : m_clients) {
        if (key != &asking && client->isOpen() && client->isStalled(now) && client->heldBytes() > bytes && (!heaviest || client->heldBytes() > heaviest->heldBytes()))
            heaviest = key;
    }
    if (!heaviest)
        return false;
    heaviest->turnAway();
    return true;
}

template<HeaderCodec Codec>
bool Worker<Codec>::disconnectSlowReader(const Client& asking)
{
    auto now = base::BootClock {}.now();
    Client* heaviest = nullptr;
    for (const auto& [key, client] : m_clients) {
        if (key != &asking && client->isReadingSlowly(now) && (!heaviest || client->pendingBytes() > heaviest->pendingBytes()))
            heaviest = key;
    }
    if (!heaviest)
        return false;
    heaviest->cutOff();
    return true;
}

template<HeaderCodec Codec>
void Worker<Codec>::onRejected(Client& client, unsigned status, base::ResultCode code)
{
    m_state.metrics.countRejection(code);
    m_state.metrics.countOutcome(manifest::RouteKind::NonIdempotent, SessionOutcome::Rejected);
    LOG(WARNING) << log::LogLine("request_rejected").with("status", status).with("code", base::nameOf(code)).with("held_bytes", client.heldBytes()).with("buffered_bytes", m_state.buffers.usedBytes()).text();
}

template<HeaderCodec Codec>
void Worker<Codec>::onClientDisconnected(Client& client)
{
    auto session = m_sessions.find(&client);
    if (session != m_sessions.end())
        session->second->clientDisconnected();
    auto found = m_clients.extract(&client);
    if (found.empty())
        return;
    --m_state.openClients;
    m_retiredClients.push_back(std::move(found.mapped()));
}

template<HeaderCodec Codec>
void Worker<Codec>::onSessionEnded(ClientSession& session)
{
    auto found = m_sessions.extract(&session.client());
    if (found.empty())
        return;
    --m_state.activeSessions;
    m_retiredSessions.push_back(std::move(found.mapped()));
}

} // namespace redwingseam::gateway
