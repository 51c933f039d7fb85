#include "gateway/WriteBuffer.h"

#include <cerrno>
#include <sys/socket.h>

namespace redwingseam::gateway {

// A block of up to this size is kept for the next bytes.
static constexpr size_t maxKeptBytes = 64 * 1024;

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
        bool hasFailed = errno != EAGAIN && errno != EWOULDBLOCK;
        // For a peer that is always a little behind, all that it was ever sent would be kept otherwise.
        if (m_offset > maxKeptBytes && m_offset >= size()) {
            m_bytes = m_bytes.substr(m_offset);
            m_offset = 0;
        }
        return !hasFailed;
    }
    clear();
    return true;
}

void WriteBuffer::clear()
{
    // Assigning an empty string would keep the block.
    if (m_bytes.capacity() > maxKeptBytes)
        std::string().swap(m_bytes);
    m_bytes.clear();
    m_offset = 0;
}

} // namespace redwingseam::gateway
