#include "membership/GossipStoreImpl.h"

namespace redwingseam::membership {

template class GossipStore<OverridePolicy>;

} // namespace redwingseam::membership
