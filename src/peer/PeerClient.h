#pragma once

#include "base/NamedThread.h"
#include "peer/OutboundConnection.h"
#include "peer/Poller.h"
#include "redwingseam/base/Mutex.h"

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace redwingseam::peer {

// Sends messages to other VMs over one HTTP/2 connection per VM, each message on its own stream. Drops
// messages that cannot be delivered, because the node retries those that matter. Thread-safe.
class PeerClient {
public:
    PeerClient();
    ~PeerClient() { stop(); }
    PeerClient(const PeerClient&) = delete;
    PeerClient& operator=(const PeerClient&) = delete;

    // Connections that are being established at a time. Each takes memory and a descriptor until its peer is found to be gone,
    // and messages that would need another one are dropped.
    static constexpr size_t maxPendingConnections = 512;

    // Queues a message for the peer that listens on `address` (`ip:port`). Does not block.
    void send(const std::string& address, std::string message);
    // Stops the thread and waits for it. Messages that are still queued are dropped.
    void stop();
    // Return the bytes and the number of the messages passed to `send`, including those dropped later.
    uint64_t bytesQueued() const { return m_bytes; }
    uint64_t messagesQueued() const { return m_messages; }

private:
    struct QueuedMessage {
        std::string address;
        std::string message;
    };

    void run();
    void sendQueued();
    OutboundConnection* connectionTo(const std::string& address);
    void processIo(const std::string& address);

    std::atomic<uint64_t> m_bytes { 0 };
    std::atomic<uint64_t> m_messages { 0 };
    std::atomic<bool> m_isStopping { false };
    base::Mutex m_mutex;
    std::vector<QueuedMessage> m_queuedMessages;
    Poller m_poller;
    std::map<std::string, std::unique_ptr<OutboundConnection>> m_connections;
    std::unordered_map<int, std::string> m_addressByDescriptor;
    // Addresses of the connections that are not established yet.
    std::set<std::string> m_pendingAddresses;
    base::NamedThread m_thread;
};

} // namespace redwingseam::peer
