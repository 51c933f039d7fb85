#pragma once

#include "forward/CrashRegister.h"
#include "forward/PartRegister.h"

namespace redwingseam::forward {

// What a node knows of the requests, and of the parts of prompts, that crash upstreams.
struct CrashEvidence {
    CrashRegister requests;
    PartRegister parts;

    // Sets the position of this node among all nodes that share the trials of what is quarantined.
    void setPosition(uint32_t position, uint32_t nodeCount)
    {
        requests.turns().setPosition(position, nodeCount);
        parts.trials().turns().setPosition(position, nodeCount);
    }
};

} // namespace redwingseam::forward
