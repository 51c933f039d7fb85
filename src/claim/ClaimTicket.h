#pragma once

#include "redwingseam/claim/ClaimRecord.h"

#include <compare>
#include <cstdint>

namespace redwingseam::claim {

// Names one record of one holder, so that whoever waits for it can be told.
struct ClaimTicket {
    base::IdempotencyKey key;
    uint64_t holder = 0;
    RecordKind kind = RecordKind::Claimed;

    auto operator<=>(const ClaimTicket&) const = default;
};

inline ClaimTicket ticketOf(const ClaimRecord& record)
{
    return { record.key, record.holder, record.kind };
}

} // namespace redwingseam::claim
