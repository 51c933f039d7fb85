#include "stream/Transcript.h"

#include "base/Hash.h"

namespace redwingseam::stream {

void Transcript::append(uint32_t id)
{
    m_ids.push_back(id);
    m_hash = base::hashCombine(m_hash, id);
}

} // namespace redwingseam::stream
