#include "node/DecisionsImpl.h"

namespace redwingseam::node {

template class Decisions<DefaultRules>;

} // namespace redwingseam::node
