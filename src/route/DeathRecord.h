#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"
#include "route/DeathMember.h"

#include <map>

namespace redwingseam::route {

// What is known of one death: the requests in flight at it, over all nodes.
struct DeathRecord {
    std::map<base::Fingerprint, DeathMember> members;
    base::Instant verdictAt;
    bool isDecided = false;
};

} // namespace redwingseam::route
