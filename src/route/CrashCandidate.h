#pragma once

namespace redwingseam::route {

// A request that was in flight at a crash and may have caused it.
struct CrashCandidate {
    // Whether the request was a suspect already and had made no progress since.
    bool wasSuspect = false;
    // Whether any attempt has produced tokens.
    bool hasTokens = false;
};

} // namespace redwingseam::route
