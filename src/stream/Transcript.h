#pragma once

#include "redwingseam/stream/Token.h"

#include <cstdint>
#include <vector>

namespace redwingseam::stream {

// Ids of one answer's tokens so far, with the rolling hash over them. The text is not kept: a resume
// needs the ids, and the front end has passed the text on.
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
