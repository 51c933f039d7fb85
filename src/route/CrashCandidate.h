#pragma once

namespace redwingseam::route {

// A request that was in flight at a death.
struct CrashCandidate {
    // It had been a suspect before and had got no further.
    bool wasSuspect = false;
    // Some attempt at it had brought tokens.
    bool hasTokens = false;
};

} // namespace redwingseam::route
