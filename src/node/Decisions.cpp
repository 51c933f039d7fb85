#include "node/DecisionsImpl.h"

namespace redwingseam::node {

template class Decisions<DefaultPolicies>;

} // namespace redwingseam::node
