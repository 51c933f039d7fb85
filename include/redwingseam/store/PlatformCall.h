#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/store/CallKind.h"
#include "redwingseam/store/CallPurpose.h"
#include "redwingseam/store/ObjectValue.h"

#include <cstdint>
#include <optional>

namespace redwingseam::store {

// A call to the platform's store, and what it is for.
struct PlatformCall {
    CallKind kind = CallKind::Read;
    base::ObjectKey key;
    // Only with Update.
    base::ObjectVersion expected;
    // With Create and Update.
    std::optional<ObjectValue> value;
    CallPurpose purpose = CallPurpose::ClaimRead;
    // Claim group, for the purposes that have one.
    uint64_t group = 0;
};

} // namespace redwingseam::store
