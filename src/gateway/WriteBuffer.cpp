#include "gateway/WriteBuffer.h"

#include <cerrno>
#include <sys/socket.h>

namespace redwingseam::gateway {

bool WriteBuffer::flush(int descriptor)
{
    while (!isEmpty()) {
        auto count = send(descriptor, m_bytes.data() + m_offset, size(), MSG_NOSIGNAL);
        if (count >= 0) {
            m_offset += static_cast<size_t>(count);
            continue;
        }
        if (errno == EINTR)
            continue;
        return errno == EAGAIN || errno == EWOULDBLOCK;
    }
    clear();
    return true;
}

void WriteBuffer::clear()
{
    m_bytes.clear();
    m_offset = 0;
}

} // namespace redwingseam::gateway
