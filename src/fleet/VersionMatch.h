#pragma once

#include "redwingseam/base/Ids.h"

namespace redwingseam::fleet {

// Returns whether an upstream of version `offered` may go on with what one of version `required` began. Empty means that the
// version is not required or, in a list from a node of an earlier release, not known.
inline bool isCompatible(const base::SoftwareVersion& required, const base::SoftwareVersion& offered)
{
    return required.empty() || offered.empty() || required == offered;
}

} // namespace redwingseam::fleet
