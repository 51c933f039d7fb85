#pragma once

#include "base/FileDescriptor.h"

#include <nghttp2/nghttp2.h>
#include <string>

namespace redwingseam::peer {

// Transfers bytes between a socket and an HTTP/2 session and owns both. Not thread-safe.
class Http2Transport {
public:
    Http2Transport() = default;
    ~Http2Transport() { nghttp2_session_del(m_session); }
    Http2Transport(const Http2Transport&) = delete;
    Http2Transport& operator=(const Http2Transport&) = delete;

    void open(base::FileDescriptor socket, nghttp2_session* session)
    {
        m_socket = std::move(socket);
        m_session = session;
    }

    nghttp2_session* session() { return m_session; }
    int descriptor() const { return m_socket.descriptor(); }

    // Reads and writes as much as the socket allows without blocking. Returns false when the connection
    // is closed or has failed.
    bool processIo();
    // Whether the connection has been established, and the socket has accepted output.
    bool hasSent() const { return m_hasSent; }
    // Whether there is output that the socket has not accepted yet.
    bool hasPendingOutput() const { return !m_outgoing.empty(); }

private:
    bool readAll();
    bool writeAll();
    // Takes output of the session, up to a limit. What the session keeps is still shared among its streams, so that a small
    // message does not wait behind a large one.
    bool fillOutgoing();

    static constexpr size_t maxOutgoingBytes = 32 * 1024;

    base::FileDescriptor m_socket;
    nghttp2_session* m_session = nullptr;
    std::string m_outgoing;
    bool m_hasSent = false;
};

} // namespace redwingseam::peer
