#pragma once

#include "codec/PeerCodec.h"
#include "http/CurlLoop.h"
#include "peer/IgnoredAnswers.h"
#include "redwingseam/peer/PeerSend.h"

#include <atomic>

namespace redwingseam::peer {

// Sends messages to other VMs, each as a stream of the one HTTP/2 connection to that VM. Thread-safe.
class PeerClient {
public:
    PeerClient()
        : m_loop(m_answers, "peer-out")
    {
    }

    void send(const PeerSend& effect)
    {
        static constexpr base::Duration messageTimeout = std::chrono::seconds(2);
        http::HttpRequest request { "POST", "http://" + effect.address + "/peer", codec::formatMessage(effect.message) };
        request.headers.emplace_back("Content-Type: application/cbor");
        request.isHttp2 = true;
        request.timeout = messageTimeout;
        m_bytes += request.body.size();
        ++m_messages;
        m_loop.submit(m_nextId++, std::move(request), {});
    }

    void stop() { m_loop.stop(); }
    uint64_t bytesSent() const { return m_bytes; }
    uint64_t messagesSent() const { return m_messages; }

private:
    std::atomic<uint64_t> m_nextId { 1 };
    std::atomic<uint64_t> m_bytes { 0 };
    std::atomic<uint64_t> m_messages { 0 };
    IgnoredAnswers m_answers;
    http::CurlLoop<IgnoredAnswers> m_loop;
};

} // namespace redwingseam::peer
