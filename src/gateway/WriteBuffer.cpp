#include "gateway/WriteBuffer.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <sys/uio.h>

namespace redwingseam::gateway {

// A block of up to this size is kept for the next bytes.
static constexpr size_t maxKeptBytes = 64 * 1024;
// Of one call to the system.
static constexpr size_t maxBlocksAtOnce = 16;

static iovec blockOf(const char* bytes, size_t size)
{
    return { const_cast<char*>(bytes), size };
}

void WriteBuffer::append(std::string_view bytes)
{
    takeOverReferences();
    m_bytes.append(bytes);
}

void WriteBuffer::appendReference(std::string_view bytes)
{
    if (bytes.empty())
        return;
    m_references.push_back(bytes);
    m_referencedBytes += bytes.size();
}

void WriteBuffer::takeOverReferences()
{
    for (; m_nextReference < m_references.size(); ++m_nextReference)
        m_bytes.append(m_references[m_nextReference]);
    clearReferences();
}

void WriteBuffer::clearReferences()
{
    m_references = {};
    m_nextReference = 0;
    m_referencedBytes = 0;
}

bool WriteBuffer::flush(int descriptor)
{
    while (!isEmpty()) {
        std::array<iovec, maxBlocksAtOnce> blocks;
        blocks[0] = blockOf(m_bytes.data() + m_offset, m_bytes.size() - m_offset);
        size_t blockCount = 1;
        for (auto next = m_nextReference; next < m_references.size() && blockCount < blocks.size(); ++next)
            blocks[blockCount++] = blockOf(m_references[next].data(), m_references[next].size());
        msghdr message {};
        message.msg_iov = blocks.data();
        message.msg_iovlen = blockCount;
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
    count -= own;
    m_referencedBytes -= count;
    while (count) {
        auto& next = m_references[m_nextReference];
        auto part = std::min(count, next.size());
        next.remove_prefix(part);
        count -= part;
        if (next.empty())
            ++m_nextReference;
    }
}

void WriteBuffer::clear()
{
    // Assigning an empty string would keep the block.
    if (m_bytes.capacity() > maxKeptBytes)
        std::string().swap(m_bytes);
    m_bytes.clear();
    m_offset = 0;
    clearReferences();
}

} // namespace redwingseam::gateway
