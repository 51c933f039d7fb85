#pragma once

#include "base/NamedThread.h"
#include "peer/OutboundConnection.h"
#include "peer/Poller.h"
#include "redwingseam/base/Mutex.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace redwingseam::peer {

// Sends messages to other VMs, each as a stream of the one HTTP/2 connection to that VM. What cannot be
// delivered is dropped: the node sends again what it needs to. Thread-safe.
class PeerClient {
public:
    PeerClient();
    ~PeerClient() { stop(); }
    PeerClient(const PeerClient&) = delete;
    PeerClient& operator=(const PeerClient&) = delete;

    // `address` is the `ip:port` of the peer's listener.
    void send(const std::string& address, std::string message);
    void stop();
    uint64_t bytesSent() const { return m_bytes; }
    uint64_t messagesSent() const { return m_messages; }

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
    std::unordered_map<int, std::string> m_addresses;
    base::NamedThread m_thread;
};

} // namespace redwingseam::peer
