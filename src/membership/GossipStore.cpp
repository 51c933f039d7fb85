#include "membership/GossipStoreImpl.h"

namespace redwingseam::membership {

template class GossipStore<DefaultOverrideRules>;

} // namespace redwingseam::membership
