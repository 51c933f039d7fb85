#pragma once

#include "redwingseam/claim/ClaimRecord.h"

#include <compare>
#include <cstdint>

namespace redwingseam::claim {

// Identifies one record of one holder, so that its waiter can be notified.
struct ClaimRecordId {
    base::IdempotencyKey key;
    uint64_t holder = 0;
    RecordKind kind = RecordKind::Claimed;

    auto operator<=>(const ClaimRecordId&) const = default;
};

inline ClaimRecordId recordIdOf(const ClaimRecord& record)
{
    return { record.key, record.holder, record.kind };
}

} // namespace redwingseam::claim
