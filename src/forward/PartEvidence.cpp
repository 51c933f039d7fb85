#include "forward/PartEvidence.h"

#include <algorithm>
#include <iterator>

namespace redwingseam::forward {

std::vector<base::PromptPartHash> possibleCauses(const PartCrash& crash, const LastProgress& lastProgress)
{
    std::vector<base::PromptPartHash> withoutProgressSince;
    std::vector<base::PromptPartHash> unproven;
    for (auto part : crash.parts) {
        auto progressAt = lastProgress(part);
        if (progressAt >= crash.lostAt)
            continue;
        withoutProgressSince.push_back(part);
        if (!progressAt || crash.lostAt - *progressAt > soundnessPeriod)
            unproven.push_back(part);
    }
    return unproven.empty() ? withoutProgressSince : unproven;
}

} // namespace redwingseam::forward
