#pragma once

#include "gateway/Lane.h"

namespace redwingseam::gateway {

template<Dialect Names>
void Lane<Names>::adopt(base::FileDescriptor socket)
{
    {
        std::lock_guard guard(m_mutex);
        m_adopted.push_back(std::move(socket));
    }
    m_loop.wake();
}

template<Dialect Names>
void Lane<Names>::stop()
{
    m_isStopping = true;
    m_loop.wake();
    m_thread.join();
    // Sessions use the clients and the cache, so they go first.
    m_sessions.clear();
    m_retiredSessions.clear();
    m_clients.clear();
}

template<Dialect Names>
void Lane<Names>::run()
{
    while (!m_isStopping) {
        m_loop.runOnce(m_sessions.empty() ? idleTick : sessionTick);
        takeAdopted();
        auto now = base::BootClock {}.now();
        tickSessions(now);
        tickIdle(now);
        clearRetired();
    }
}

template<Dialect Names>
void Lane<Names>::takeAdopted()
{
    std::vector<base::FileDescriptor> adopted;
    {
        std::lock_guard guard(m_mutex);
        adopted.swap(m_adopted);
    }
    auto known = m_state.manifest.state();
    auto limits = known.index ? known.index->manifest().limits : manifest::ClientLimits {};
    auto now = base::BootClock {}.now();
    for (auto& socket : adopted) {
        auto client = std::make_unique<Client>(m_loop, *this, std::move(socket), limits, now);
        auto* key = client.get();
        m_clients.emplace(key, std::move(client));
    }
}

template<Dialect Names>
void Lane<Names>::tickSessions(base::Instant now)
{
    if (now - m_sessionsTicked < sessionTick)
        return;
    m_sessionsTicked = now;
    std::vector<ClientSession*> current;
    current.reserve(m_sessions.size());
    for (const auto& [client, session] : m_sessions)
        current.push_back(session.get());
    // A session that ends meanwhile is deleted only after this round.
    for (auto* session : current)
        session->tick(now);
}

template<Dialect Names>
void Lane<Names>::tickIdle(base::Instant now)
{
    if (now - m_idleTicked < idleTick)
        return;
    m_idleTicked = now;
    m_connections.tick(now);
    std::vector<Client*> current;
    current.reserve(m_clients.size());
    for (const auto& [key, client] : m_clients)
        current.push_back(key);
    for (auto* client : current)
        client->tick(now);
}

template<Dialect Names>
void Lane<Names>::clearRetired()
{
    m_retiredSessions.clear();
    m_retiredUpstreams.clear();
    m_retiredClients.clear();
}

template<Dialect Names>
void Lane<Names>::onRequest(Client& client, typename Client::Request message)
{
    auto session = std::make_unique<ClientSession>(*this, client, std::move(message), base::BootClock {}.now());
    auto* current = session.get();
    m_sessions[&client] = std::move(session);
    ++m_state.sessions;
    current->begin();
}

template<Dialect Names>
void Lane<Names>::onRejected(Client&, unsigned status, base::ResultCode code)
{
    m_state.metrics.countEnd(manifest::RouteKind::NonIdempotent, SessionEnd::Rejected);
    LOG(WARNING) << log::LogLine("request_rejected").with("status", status).with("code", base::nameOf(code)).text();
}

template<Dialect Names>
void Lane<Names>::onClientGone(Client& client)
{
    auto session = m_sessions.find(&client);
    if (session != m_sessions.end())
        session->second->clientGone();
    auto found = m_clients.extract(&client);
    if (!found.empty())
        m_retiredClients.push_back(std::move(found.mapped()));
}

template<Dialect Names>
void Lane<Names>::sessionEnded(ClientSession& session)
{
    auto found = m_sessions.extract(&session.client());
    if (found.empty())
        return;
    --m_state.sessions;
    m_retiredSessions.push_back(std::move(found.mapped()));
}

} // namespace redwingseam::gateway
