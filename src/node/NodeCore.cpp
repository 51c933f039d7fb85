#include "node/NodeCoreImpl.h"

namespace redwingseam::node {

template class NodeCore<DefaultRules>;

} // namespace redwingseam::node
