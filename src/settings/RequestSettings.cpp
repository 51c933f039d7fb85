#include "redwingseam/settings/RequestSettings.h"

#include "redwingseam/settings/FieldSpec.h"

#include <array>
#include <string>

namespace redwingseam::settings {

ResolvedValue resolveField(const Tree& tree, const Scope& scope, Field field)
{
    const std::array paths {
        "/clients/" + scope.client.text,
        "/work/" + scope.work.text,
        "/regions/" + scope.region.text,
    };
    for (const auto& path : paths) {
        auto resolved = tree.resolve(path, field);
        // The path is `/` for a value of the root and empty for the built-in default.
        bool comesFromSubtree = resolved.path.size() > 1;
        if (comesFromSubtree)
            return resolved;
    }
    return tree.resolve("/", field);
}

RequestSettings resolveRequestSettings(const Tree& tree, const Scope& scope)
{
    auto number = [&](Field field) { return resolveField(tree, scope, field).value; };
    auto millis = [&](Field field) -> base::Duration { return std::chrono::milliseconds(number(field)); };
    return {
        .rank = static_cast<base::Rank>(number(Field::Rank)),
        .weight = number(Field::Weight),
        .deadline = millis(Field::DeadlineMs),
        .queueLimit = static_cast<size_t>(number(Field::QueueLimit)),
        .maxTokens = static_cast<uint32_t>(number(Field::MaxTokens)),
        .preemptsDeferrable = number(Field::PreemptDeferrable) != 0,
        .suspicionFloor = millis(Field::SuspicionFloorMs),
        .suspicionCeiling = millis(Field::SuspicionCeilingMs),
        .suspicionGapFactor = number(Field::SuspicionGapFactor),
        .firstTokenSuspicion = millis(Field::FirstTokenSuspicionMs),
        .resumeLimit = static_cast<uint32_t>(number(Field::ResumeLimit)),
        .retryBudgetPermille = number(Field::RetryBudgetPermille),
        .firstTokenTarget = millis(Field::FirstTokenTargetMs),
        .betweenTokensTarget = millis(Field::BetweenTokensTargetMs),
        .resumeTarget = millis(Field::ResumeTargetMs),
        .objectivePermille = number(Field::ObjectivePermille),
        .isIdempotent = number(Field::Idempotent) != 0,
        .upstreamDeduplicates = number(Field::UpstreamDeduplicates) != 0,
    };
}

} // namespace redwingseam::settings
