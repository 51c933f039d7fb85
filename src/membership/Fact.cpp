#include "redwingseam/membership/Fact.h"

#include <tuple>

namespace redwingseam::membership {

bool overrides(const Fact& candidate, const Fact& held)
{
    return std::tie(candidate.incarnation, candidate.sequence, candidate.body) > std::tie(held.incarnation, held.sequence, held.body);
}

} // namespace redwingseam::membership
