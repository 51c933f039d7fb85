#include "forward/LastingEvidence.h"

#include <algorithm>

namespace redwingseam::forward {

// Nodes differ a little about the time of what they tell each other.
static constexpr base::Duration timeTolerance = std::chrono::seconds(2);

static bool isSimilar(base::Instant left, base::Instant right)
{
    return left - right < timeTolerance && right - left < timeTolerance;
}

static bool isSimilar(const std::optional<base::Instant>& left, const std::optional<base::Instant>& right)
{
    return left.has_value() == right.has_value() && (!left || isSimilar(*left, *right));
}

static bool isSimilar(const CrashRecord& left, const CrashRecord& right)
{
    return left.fingerprint == right.fingerprint && left.crashes == right.crashes && left.trials == right.trials && isSimilar(left.lastCrashAt, right.lastCrashAt) && isSimilar(left.lastTrialAt, right.lastTrialAt);
}

static bool isSimilar(const PartCrash& left, const PartCrash& right)
{
    return left.id == right.id && left.parts == right.parts;
}

static bool isSimilar(const PartTrial& left, const PartTrial& right)
{
    return left.part == right.part && isSimilar(left.startedAt, right.startedAt);
}

template<typename List>
static bool areSimilar(const List& left, const List& right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](const auto& one, const auto& other) { return isSimilar(one, other); });
}

bool LastingEvidence::isSimilar(const LastingEvidence& other) const
{
    return areSimilar(requests, other.requests) && areSimilar(parts.crashes, other.parts.crashes) && areSimilar(parts.trials, other.parts.trials);
}

} // namespace redwingseam::forward
