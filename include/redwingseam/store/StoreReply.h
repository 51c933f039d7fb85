#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/store/CallOutcome.h"
#include "redwingseam/store/ObjectValue.h"
#include "redwingseam/store/StoreCall.h"

#include <optional>

namespace redwingseam::store {

// Reply to a call. `version` and `value` are those of the object after the call, if known.
struct StoreReply {
    StoreCall call;
    CallOutcome outcome = CallOutcome::Unknown;
    base::ObjectVersion version;
    std::optional<ObjectValue> value;
};

} // namespace redwingseam::store
