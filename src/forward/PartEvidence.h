#pragma once

#include "forward/PartCrash.h"
#include "forward/Soundness.h"

#include <functional>
#include <optional>

namespace redwingseam::forward {

// Returns when a request with the part last made progress, or nullopt if none did. A crash that another node reports may
// precede the boot of this machine, from which the clock counts.
using LastProgress = std::function<std::optional<base::Instant>(base::PromptPartHash)>;

// Whether progress shortly before a crash, or after it, speaks for the part.
inline constexpr base::Duration soundnessPeriod = std::chrono::seconds(60);

Soundness soundnessAt(base::Instant lostAt, std::optional<base::Instant> progressAt);

// Returns the parts of the crashed request that may have caused the crash: those without progress since it and for some
// time before it. If all parts made progress before the crash, those without progress since are returned, because an
// upstream may be changed so that it fails on a part that it served before.
std::vector<base::PromptPartHash> possibleCauses(const PartCrash&, const LastProgress&);

} // namespace redwingseam::forward
