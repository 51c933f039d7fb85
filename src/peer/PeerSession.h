#pragma once

#include "peer/SessionPump.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace redwingseam::peer {

// One HTTP/2 connection from another VM. Each stream carries one message. Used by one thread.
class PeerSession {
public:
    explicit PeerSession(base::FileDescriptor);

    bool advance() { return m_pump.advance(); }
    bool hasUnsent() const { return m_pump.hasUnsent(); }
    // Messages that have come in whole since the last call.
    std::vector<std::string> takeMessages() { return std::exchange(m_messages, {}); }

private:
    static int onData(nghttp2_session*, uint8_t, int32_t stream, const uint8_t* bytes, size_t size, void* self);
    static int onFrame(nghttp2_session*, const nghttp2_frame*, void* self);
    static int onClosed(nghttp2_session*, int32_t stream, uint32_t, void* self);

    SessionPump m_pump;
    std::unordered_map<int32_t, std::string> m_bodies;
    std::vector<std::string> m_messages;
};

} // namespace redwingseam::peer
