#pragma once

#include "redwingseam/claim/ClaimRecord.h"

#include <concepts>
#include <cstdint>

namespace redwingseam::claim {

// Decides whether a holder may dispatch the work of a key. Tests substitute faulty rules to show that their
// property checks can fail.
struct DefaultClaimRules {
    static bool isGranted(const ClaimRecord& effectiveRecord, uint64_t holder)
    {
        return effectiveRecord.kind == RecordKind::Claimed && effectiveRecord.holder == holder;
    }
    // Returns whether a dispatched call whose outcome is unknown may be dispatched again.
    static bool mayRetryLostCall(bool isIdempotent) { return isIdempotent; }
};

template<typename T>
concept ClaimRules = requires(const ClaimRecord& record, uint64_t holder, bool flag)
{
    {
        T::isGranted(record, holder)
        } -> std::same_as<bool>;
    {
        T::mayRetryLostCall(flag)
        } -> std::same_as<bool>;
};

} // namespace redwingseam::claim
