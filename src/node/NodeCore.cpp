#include "node/NodeCoreImpl.h"

namespace redwingseam::node {

template class NodeCore<DefaultPolicies>;

} // namespace redwingseam::node
