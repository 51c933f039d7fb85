#pragma once

#include "redwingseam/claim/ClaimRecord.h"

#include <compare>
#include <cstdint>

namespace redwingseam::claim {

// Names one record of one holder, so that whoever waits for it can be told.
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
