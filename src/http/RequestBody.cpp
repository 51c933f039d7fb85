#include "http/RequestBody.h"

#include "base/Hash.h"

#include <algorithm>

namespace redwingseam::http {

void RequestBody::append(std::string_view bytes)
{
    while (!bytes.empty()) {
        if (m_blocks.empty() || m_blocks.back().size() == m_blocks.back().capacity())
            addBlock();
        auto& block = m_blocks.back();
        auto part = bytes.substr(0, block.capacity() - block.size());
        block.append(part);
        m_size += part.size();
        bytes.remove_prefix(part.size());
    }
}

// The blocks of equal bodies have equal bounds, also where the length is not known beforehand. The hash depends on them.
void RequestBody::addBlock()
{
    size_t wanted = std::clamp(m_size, minBlockBytes, maxBlockBytes);
    auto remaining = m_expectedBytes > m_size ? m_expectedBytes - m_size : 1;
    m_blocks.emplace_back().reserve(static_cast<size_t>(std::min<uint64_t>(wanted, remaining)));
    m_allocatedBytes += m_blocks.back().capacity();
}

std::string RequestBody::text() const
{
    std::string result;
    result.reserve(m_size);
    for (const auto& block : m_blocks)
        result += block;
    return result;
}

uint64_t RequestBody::hash(uint64_t seed) const
{
    if (m_blocks.empty())
        return base::hashBytes({}, seed);
    for (const auto& block : m_blocks)
        seed = base::hashBytes(block, seed);
    return seed;
}

} // namespace redwingseam::http
