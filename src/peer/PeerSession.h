#pragma once

#include "peer/Socket.h"

#include <cstdint>
#include <nghttp2/nghttp2.h>
#include <string>
#include <unordered_map>
#include <vector>

namespace redwingseam::peer {

// One HTTP/2 connection from another VM. Each stream carries one message. Used by one thread.
class PeerSession {
public:
    explicit PeerSession(Socket);
    ~PeerSession();
    PeerSession(const PeerSession&) = delete;
    PeerSession& operator=(const PeerSession&) = delete;

    int descriptor() const { return m_socket.descriptor(); }

    // Reads and writes what the socket allows. Returns false when the connection is over.
    bool advance();
    bool wantsWrite() const { return !m_outgoing.empty(); }
    // Messages that have come in whole since the last call.
    std::vector<std::string> takeMessages() { return std::exchange(m_messages, {}); }

private:
    static int onData(nghttp2_session*, uint8_t, int32_t stream, const uint8_t* bytes, size_t size, void* self);
    static int onFrame(nghttp2_session*, const nghttp2_frame*, void* self);
    static int onClosed(nghttp2_session*, int32_t stream, uint32_t, void* self);

    bool readAll();
    bool writeAll();

    Socket m_socket;
    nghttp2_session* m_session = nullptr;
    std::unordered_map<int32_t, std::string> m_bodies;
    std::vector<std::string> m_messages;
    std::string m_outgoing;
};

} // namespace redwingseam::peer
