#pragma once

#include "forward/CrashRegister.h"
#include "forward/LastingEvidence.h"
#include "forward/PartRegister.h"

namespace redwingseam::forward {

// What a node knows of the requests, and of the parts of prompts, that crash upstreams.
struct CrashEvidence {
    CrashRegister requests;
    PartRegister parts;

    // Returns what must outlive the processes of all nodes.
    LastingEvidence lasting(base::Instant now)
    {
        LastingEvidence evidence { requests.lastingRecords(now), parts.evidence() };
        // A part that was cleared has no crashes among the evidence.
        evidence.parts.clearances.clear();
        return evidence;
    }
    // Takes over what earlier processes knew.
    void applyLasting(const LastingEvidence& evidence, base::Instant now)
    {
        for (const auto& record : evidence.requests)
            requests.applyRecord(record);
        parts.apply(evidence.parts, now);
    }

    // Sets the position of this node among all nodes that share the trials of what is quarantined.
    void setPosition(uint32_t position, uint32_t nodeCount)
    {
        requests.turns().setPosition(position, nodeCount);
        parts.trials().turns().setPosition(position, nodeCount);
    }
};

} // namespace redwingseam::forward
