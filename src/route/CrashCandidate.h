#pragma once

namespace redwingseam::route {

// A request that was in flight at one crash and may have caused it. The same request is a candidate once per
// crash, but only one suspect.
struct CrashCandidate {
    // Whether the request had been in flight at an earlier crash too and had made no progress since.
    bool wasSuspect = false;
    // Whether any attempt has produced tokens.
    bool hasTokens = false;
};

} // namespace redwingseam::route
