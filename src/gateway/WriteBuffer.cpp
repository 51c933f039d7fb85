#include "gateway/WriteBuffer.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <sys/uio.h>

namespace redwingseam::gateway {

// A block of up to this size is kept for the next bytes.
static constexpr size_t maxKeptBytes = 64 * 1024;

static iovec blockOf(const char* bytes, size_t size)
{
    return { const_cast<char*>(bytes), size };
}

void WriteBuffer::append(std::string_view bytes)
{
    takeOverReference();
    m_bytes.append(bytes);
}

void WriteBuffer::appendReference(std::string_view bytes)
{
    takeOverReference();
    m_referenced = bytes;
}

void WriteBuffer::takeOverReference()
{
    m_bytes.append(m_referenced);
    m_referenced = {};
}

bool WriteBuffer::flush(int descriptor)
{
    while (!isEmpty()) {
        std::array blocks { blockOf(m_bytes.data() + m_offset, m_bytes.size() - m_offset), blockOf(m_referenced.data(), m_referenced.size()) };
        msghdr message {};
        message.msg_iov = blocks.data();
        message.msg_iovlen = blocks.size();
        auto count = sendmsg(descriptor, &message, MSG_NOSIGNAL);
        if (count >= 0) {
            removeWritten(static_cast<size_t>(count));
            continue;
        }
        if (errno == EINTR)
            continue;
        bool hasFailed = errno != EAGAIN && errno != EWOULDBLOCK;
        // For a peer that is always a little behind, all that it was ever sent would be kept otherwise.
        if (m_offset > maxKeptBytes && m_offset >= m_bytes.size() - m_offset) {
            m_bytes = m_bytes.substr(m_offset);
            m_offset = 0;
        }
        return !hasFailed;
    }
    clear();
    return true;
}

void WriteBuffer::removeWritten(size_t count)
{
    auto own = std::min(count, m_bytes.size() - m_offset);
    m_offset += own;
    m_referenced.remove_prefix(count - own);
}

void WriteBuffer::clear()
{
    // Assigning an empty string would keep the block.
    if (m_bytes.capacity() > maxKeptBytes)
        std::string().swap(m_bytes);
    m_bytes.clear();
    m_offset = 0;
    m_referenced = {};
}

} // namespace redwingseam::gateway
