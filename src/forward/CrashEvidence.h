#pragma once

#include "forward/CrashRegister.h"
#include "forward/PartRegister.h"

namespace redwingseam::forward {

// What a node knows of the requests, and of the parts of prompts, that crash upstreams.
struct CrashEvidence {
    CrashRegister requests;
    PartRegister parts;
};

} // namespace redwingseam::forward
