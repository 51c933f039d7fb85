#pragma once

#include "http/SocketAddress.h"
#include "peer/Http2Transport.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace redwingseam::peer {

// HTTP/2 connection to another VM. Sends each message on its own stream. Not thread-safe.
class OutboundConnection {
public:
    explicit OutboundConnection(const http::SocketAddress&);

    int descriptor() const { return m_transport.descriptor(); }
    bool processIo() { return m_transport.processIo(); }
    bool isEstablished() const { return m_transport.hasSent(); }
    bool hasPendingOutput() const { return m_transport.hasPendingOutput(); }

    // Queues a message. Returns false and drops it if more than 8 MiB would be queued or the session
    // accepts no further stream.
    bool send(std::string message);

private:
    struct Outgoing {
        std::string message;
        size_t offset = 0;
    };

    static ssize_t onRead(nghttp2_session*, int32_t stream, uint8_t* buffer, size_t size, uint32_t* flags, nghttp2_data_source*, void* self);
    static int onStreamClosed(nghttp2_session*, int32_t stream, uint32_t, void* self);

    Http2Transport m_transport;
    std::string m_authority;
    std::unordered_map<int32_t, Outgoing> m_streams;
    size_t m_queuedBytes = 0;
};

} // namespace redwingseam::peer
