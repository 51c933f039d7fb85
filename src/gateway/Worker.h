#pragma once

#include "base/NamedThread.h"
#include "gateway/ConnectionPool.h"
#include "gateway/Session.h"
#include "log/LogLine.h"
#include "redwingseam/base/Mutex.h"

#include <glog/logging.h>
#include <mutex>
#include <random>
#include <unordered_map>

namespace redwingseam::gateway {

// A worker thread with its event loop, its client connections and its pool of upstream connections.
// Only `addConnection` and `stop` may be called from other threads.
template<HeaderCodec Codec>
class Worker {
public:
    using Client = ClientConnection<Worker>;
    using ClientSession = Session<Codec, Worker>;
    using Upstream = typename ClientSession::Upstream;

    Worker(GatewayState& state, size_t number)
        : m_state(state)
        , m_random(std::random_device {}())
        , m_thread("lane-" + std::to_string(number), [this] { run(); })
    {
    }
    ~Worker() { stop(); }
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;

    // Takes over a client connection and serves its requests.
    void addConnection(base::FileDescriptor);
    // Stops the thread and closes all connections.
    void stop();

    // Called by sessions and client connections on this worker's thread.
    void onRequest(Client&, typename Client::Request);
    void onRejected(Client&, unsigned status, base::ResultCode);
    void onClientDisconnected(Client&);
    void onSessionEnded(ClientSession&);
    // Defers the deletion of a connection until the current batch of events, which may still refer to it,
    // has been handled.
    void retire(std::unique_ptr<Upstream> connection) { m_retiredUpstreams.push_back(std::move(connection)); }
    GatewayState& state() { return m_state; }
    BufferBudget& buffers() { return m_state.buffers; }
    // Refuses the client that holds most memory for a request of which nothing came of late, if that is more than the
    // `bytes` that another one needs. Returns whether there is one.
    bool turnAwayHeavier(const Client&, size_t bytes);
    // Closes the connection of the client that has most to read, of those that read slowly. Returns false if there is none beside the
    // one that asks.
    bool disconnectSlowReader(const Client&);
    // Returns when a client may come again whose request the node has no memory for.
    base::Duration retryAfter() const { return m_state.exchangePolicy.retryAfter; }
    // Returns the limits of the newest known manifest.
    manifest::ClientLimits clientLimits() const;
    EventLoop& loop() { return m_loop; }
    ConnectionPool<ClientSession>& connectionPool() { return m_connectionPool; }
    uint64_t random() { return m_random(); }

private:
    // Short enough for probes and retries of silent requests, whose delays are tens of milliseconds.
    static constexpr base::Duration sessionTickInterval = std::chrono::milliseconds(20);
    static constexpr base::Duration idleTickInterval = std::chrono::milliseconds(250);
    // A longer time between ticks means that the process was frozen or starved of processor time.
    static constexpr base::Duration maxTickDelay = idleTickInterval + std::chrono::milliseconds(100);

    void run();
    void addPendingClients();
    void tickSessions(base::Instant now);
    void tickIdle(base::Instant now);
    void closeIdleClients();
    void deleteRetired();

    GatewayState& m_state;
    EventLoop m_loop;
    std::mt19937_64 m_random;
    base::Mutex m_mutex;
    std::vector<base::FileDescriptor> m_pendingSockets;
    std::atomic<bool> m_isStopping { false };
    ConnectionPool<ClientSession> m_connectionPool;
    std::unordered_map<Client*, std::unique_ptr<Client>> m_clients;
    std::unordered_map<Client*, std::unique_ptr<ClientSession>> m_sessions;
    std::vector<std::unique_ptr<Client>> m_retiredClients;
    std::vector<std::unique_ptr<ClientSession>> m_retiredSessions;
    std::vector<std::unique_ptr<Upstream>> m_retiredUpstreams;
    base::Instant m_lastSessionTick {};
    base::Instant m_lastIdleTick {};
    base::NamedThread m_thread;
};

} // namespace redwingseam::gateway

#include "gateway/WorkerImpl.h"
