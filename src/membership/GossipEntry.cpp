#include "redwingseam/membership/GossipEntry.h"

#include <tuple>

namespace redwingseam::membership {

bool overrides(const GossipEntry& candidate, const GossipEntry& held)
{
    return std::tie(candidate.incarnation, candidate.sequence, candidate.body) > std::tie(held.incarnation, held.sequence, held.body);
}

} // namespace redwingseam::membership
