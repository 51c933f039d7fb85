#include "peer/Http2Transport.h"

#include <array>
#include <cerrno>
#include <cstdint>
#include <sys/socket.h>

namespace redwingseam::peer {

bool Http2Transport::processIo()
{
    if (!readAll() || !writeAll())
        return false;
    return nghttp2_session_want_read(m_session) || nghttp2_session_want_write(m_session);
}

bool Http2Transport::readAll()
{
    std::array<uint8_t, 16 * 1024> buffer {};
    while (true) {
        auto count = recv(m_socket.descriptor(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count == 0)
            return false;
        if (count < 0)
            return errno == EAGAIN || errno == EINTR;
        if (nghttp2_session_mem_recv(m_session, buffer.data(), static_cast<size_t>(count)) < 0)
            return false;
    }
}

bool Http2Transport::writeAll()
{
    while (true) {
        if (!fillOutgoing())
            return false;
        if (m_outgoing.empty())
            return true;
        auto count = ::send(m_socket.descriptor(), m_outgoing.data(), m_outgoing.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count < 0)
            return errno == EAGAIN || errno == EINTR;
        m_hasSent = true;
        m_outgoing.erase(0, static_cast<size_t>(count));
    }
}

bool Http2Transport::fillOutgoing()
{
    while (m_outgoing.size() < maxOutgoingBytes) {
        const uint8_t* bytes = nullptr;
        auto size = nghttp2_session_mem_send(m_session, &bytes);
        if (size < 0)
            return false;
        if (!size)
            return true;
        m_outgoing.append(reinterpret_cast<const char*>(bytes), static_cast<size_t>(size));
    }
    return true;
}

} // namespace redwingseam::peer
