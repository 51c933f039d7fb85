#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/platform/CallOutcome.h"
#include "redwingseam/platform/ObjectValue.h"
#include "redwingseam/platform/PlatformCall.h"

#include <optional>

namespace redwingseam::platform {

// What became of a call. `version` and `value` are those of the object after the call, where known.
struct PlatformReply {
    PlatformCall call;
    CallOutcome outcome = CallOutcome::Unknown;
    base::ObjectVersion version;
    std::optional<ObjectValue> value;
};

} // namespace redwingseam::platform
