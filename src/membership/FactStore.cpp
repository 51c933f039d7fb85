#include "membership/FactStoreImpl.h"

namespace redwingseam::membership {

template class FactStore<OverridePolicy>;

} // namespace redwingseam::membership
