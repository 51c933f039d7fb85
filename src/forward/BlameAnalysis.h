#pragma once

#include "forward/CrashBlame.h"
#include "forward/CrashEvent.h"

namespace redwingseam::forward {

// Groups crashes into the failures of upstreams. Crashes without parts are dropped.
std::vector<CrashEvent> groupByFailure(std::vector<PartCrash>);

// Attributes each failure to one cause: the cause that most failures have in common explains them, the cause that most
// of the remaining ones have in common explains those, and so on. Failures that happen together count as one; among causes
// with equal counts, all their failures count. Of equally frequent causes the most specific one is blamed: the request itself, or else the last part in the prompt, since the fewest requests share it.
// Failures that have no cause in common with others are left out.
std::vector<CrashBlame> assignBlame(const std::vector<CrashEvent>&);

} // namespace redwingseam::forward
