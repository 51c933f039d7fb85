#pragma once

#include "forward/CauseKind.h"
#include "redwingseam/base/Ids.h"

#include <compare>

namespace redwingseam::forward {

// A possible cause of a crash: a prompt part or a whole request.
struct CrashCause {
    CauseKind kind = CauseKind::PromptPart;
    // The value of the PromptPartHash or of the Fingerprint.
    uint64_t value = 0;

    static CrashCause part(base::PromptPartHash hash) { return { CauseKind::PromptPart, hash.value }; }
    static CrashCause request(base::Fingerprint fingerprint) { return { CauseKind::Request, fingerprint.value }; }

    auto operator<=>(const CrashCause&) const = default;
};

} // namespace redwingseam::forward
