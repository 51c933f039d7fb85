#pragma once

#include "redwingseam/stream/Token.h"

#include <cstdint>
#include <vector>

namespace redwingseam::stream {

// Ids of the tokens accepted so far for one answer, with a rolling hash over them. The text is not kept:
// a resume needs only the ids, and the front end has already sent the text to the caller.
class Transcript {
public:
    void append(uint32_t id);

    uint32_t size() const { return static_cast<uint32_t>(m_ids.size()); }
    const std::vector<uint32_t>& ids() const { return m_ids; }
    uint64_t hash() const { return m_hash; }

private:
    std::vector<uint32_t> m_ids;
    uint64_t m_hash = 0;
};

} // namespace redwingseam::stream
