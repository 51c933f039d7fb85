#pragma once

#include "base/NamedThread.h"
#include "gateway/ConnectionCache.h"
#include "gateway/Session.h"
#include "log/LogLine.h"
#include "redwingseam/base/Mutex.h"

#include <glog/logging.h>
#include <mutex>
#include <random>
#include <unordered_map>

namespace redwingseam::gateway {

// One of a gateway's threads with its event loop, and the clients and upstream connections that it
// serves. Only `adopt`, `listen` and `stop` may be called from other threads.
template<Dialect Names>
class Lane {
public:
    using Client = ClientConnection<Lane>;
    using ClientSession = Session<Names, Lane>;
    using Upstream = typename ClientSession::Upstream;

    Lane(GatewayState& state, size_t number)
        : m_state(state)
        , m_random(std::random_device {}())
        , m_thread("lane-" + std::to_string(number), [this] { run(); })
    {
    }
    ~Lane() { stop(); }
    Lane(const Lane&) = delete;
    Lane& operator=(const Lane&) = delete;

    // Serves a client's connection from now on.
    void adopt(base::FileDescriptor);
    // Ends the thread and all connections.
    void stop();

    // For sessions and client connections, on this lane's thread.
    void onRequest(Client&, typename Client::Request);
    void onRejected(Client&, unsigned status, base::ResultCode);
    void onClientGone(Client&);
    void sessionEnded(ClientSession&);
    // Deletes a connection after the batch of events that may still name it.
    void retire(std::unique_ptr<Upstream> connection) { m_retiredUpstreams.push_back(std::move(connection)); }
    GatewayState& state() { return m_state; }
    EventLoop& loop() { return m_loop; }
    ConnectionCache<ClientSession>& connections() { return m_connections; }
    uint64_t random() { return m_random(); }

private:
    // Fine enough for probes and hedges, which are tens of milliseconds apart.
    static constexpr base::Duration sessionTick = std::chrono::milliseconds(20);
    static constexpr base::Duration idleTick = std::chrono::milliseconds(250);

    void run();
    void takeAdopted();
    void tickSessions(base::Instant now);
    void tickIdle(base::Instant now);
    void clearRetired();

    GatewayState& m_state;
    EventLoop m_loop;
    std::mt19937_64 m_random;
    base::Mutex m_mutex;
    std::vector<base::FileDescriptor> m_adopted;
    std::atomic<bool> m_isStopping { false };
    ConnectionCache<ClientSession> m_connections;
    std::unordered_map<Client*, std::unique_ptr<Client>> m_clients;
    std::unordered_map<Client*, std::unique_ptr<ClientSession>> m_sessions;
    std::vector<std::unique_ptr<Client>> m_retiredClients;
    std::vector<std::unique_ptr<ClientSession>> m_retiredSessions;
    std::vector<std::unique_ptr<Upstream>> m_retiredUpstreams;
    base::Instant m_sessionsTicked {};
    base::Instant m_idleTicked {};
    base::NamedThread m_thread;
};

} // namespace redwingseam::gateway

#include "gateway/LaneImpl.h"
