#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/store/CallKind.h"
#include "redwingseam/store/CallPurpose.h"
#include "redwingseam/store/ObjectValue.h"

#include <cstdint>
#include <optional>

namespace redwingseam::store {

// A call to the platform's store, with its purpose.
struct StoreCall {
    CallKind kind = CallKind::Read;
    base::ObjectKey key;
    // Version that the object must have. Used only by Update.
    base::ObjectVersion expectedVersion;
    // Used by the kinds that write an object: Create, Update and Put.
    std::optional<ObjectValue> value;
    CallPurpose purpose = CallPurpose::ClaimRead;
    // Claim group, for the purposes ClaimCheckpointRead, ClaimCheckpointWrite, ClaimRead and ClaimCreate.
    uint64_t claimGroup = 0;
};

} // namespace redwingseam::store
