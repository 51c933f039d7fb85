#include "forward/PartEvidence.h"

#include <algorithm>
#include <iterator>

namespace redwingseam::forward {

Soundness soundnessAt(base::Instant lostAt, std::optional<base::Instant> progressAt)
{
    if (!progressAt || lostAt - *progressAt > soundnessPeriod)
        return Soundness::Unproven;
    return *progressAt >= lostAt ? Soundness::ProvenSince : Soundness::ProvenBefore;
}

std::vector<base::PromptPartHash> possibleCauses(const PartCrash& crash, const LastProgress& lastProgress)
{
    std::vector<base::PromptPartHash> withoutProgressSince;
    std::vector<base::PromptPartHash> unproven;
    for (auto part : crash.parts) {
        auto soundness = soundnessAt(crash.lostAt, lastProgress(part));
        if (soundness == Soundness::ProvenSince)
            continue;
        withoutProgressSince.push_back(part);
        if (soundness == Soundness::Unproven)
            unproven.push_back(part);
    }
    return unproven.empty() ? withoutProgressSince : unproven;
}

} // namespace redwingseam::forward
