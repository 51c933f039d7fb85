#pragma once

#include "fleet/UpstreamLoad.h"
#include "redwingseam/base/Ids.h"

#include <unordered_map>

namespace redwingseam::fleet {

// Booked load per upstream.
using LoadMap = std::unordered_map<base::UpstreamName, UpstreamLoad>;

} // namespace redwingseam::fleet
