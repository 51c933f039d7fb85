#pragma once

#include "base/FileDescriptor.h"

#include <nghttp2/nghttp2.h>
#include <string>

namespace redwingseam::peer {

// Moves bytes between a socket and an HTTP/2 session, which it owns. Used by one thread.
class SessionPump {
public:
    SessionPump() = default;
    ~SessionPump() { nghttp2_session_del(m_session); }
    SessionPump(const SessionPump&) = delete;
    SessionPump& operator=(const SessionPump&) = delete;

    void open(base::FileDescriptor socket, nghttp2_session* session)
    {
        m_socket = std::move(socket);
        m_session = session;
    }

    nghttp2_session* session() { return m_session; }
    int descriptor() const { return m_socket.descriptor(); }

    // Reads and writes what the socket allows. Returns false when the connection is over.
    bool advance();
    // Whether bytes are left over that the socket would not take.
    bool hasUnsent() const { return !m_outgoing.empty(); }

private:
    bool readAll();
    bool writeAll();

    base::FileDescriptor m_socket;
    nghttp2_session* m_session = nullptr;
    std::string m_outgoing;
};

} // namespace redwingseam::peer
