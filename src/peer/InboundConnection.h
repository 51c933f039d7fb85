#pragma once

#include "peer/Http2Transport.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace redwingseam::peer {

// HTTP/2 connection from another VM. Each stream carries one message. Not thread-safe.
class InboundConnection {
public:
    explicit InboundConnection(base::FileDescriptor);

    bool processIo() { return m_transport.processIo(); }
    bool hasPendingOutput() const { return m_transport.hasPendingOutput(); }
    // Returns the messages that were received completely since the last call.
    std::vector<std::string> takeMessages() { return std::exchange(m_messages, {}); }

private:
    static int onDataReceived(nghttp2_session*, uint8_t, int32_t stream, const uint8_t* bytes, size_t size, void* self);
    static int onFrameReceived(nghttp2_session*, const nghttp2_frame*, void* self);
    static int onStreamClosed(nghttp2_session*, int32_t stream, uint32_t, void* self);

    Http2Transport m_transport;
    std::unordered_map<int32_t, std::string> m_bodies;
    std::vector<std::string> m_messages;
};

} // namespace redwingseam::peer
