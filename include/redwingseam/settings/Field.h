#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::settings {

// Setting that a branch of the settings tree can override. docs/SETTINGS.md is generated from
// `fieldSpecs`.
enum class Field : uint8_t {
    Rank,
    Weight,
    DeadlineMs,
    QueueLimit,
    MaxTokens,
    StandardFloorPermille,
    DeferrableFloorPermille,
    PreemptDeferrable,
    SuspicionFloorMs,
    SuspicionCeilingMs,
    SuspicionGapFactor,
    FirstTokenSuspicionMs,
    ResumeLimit,
    RetryBudgetPermille,
    FirstTokenTargetMs,
    BetweenTokensTargetMs,
    ResumeTargetMs,
    ObjectivePermille,
    Idempotent,
    UpstreamDeduplicates,
    UpstreamChecksFencing,
};

inline constexpr size_t fieldCount = 21;

constexpr size_t indexOf(Field field)
{
    return static_cast<size_t>(field);
}

} // namespace redwingseam::settings

template<>
struct redwingseam::base::EnumNames<redwingseam::settings::Field> {
    using Field = redwingseam::settings::Field;
    static constexpr std::array entries {
        std::pair { Field::Rank, std::string_view { "rank" } },
        std::pair { Field::Weight, std::string_view { "weight" } },
        std::pair { Field::DeadlineMs, std::string_view { "deadline_ms" } },
        std::pair { Field::QueueLimit, std::string_view { "queue_limit" } },
        std::pair { Field::MaxTokens, std::string_view { "max_tokens" } },
        std::pair { Field::StandardFloorPermille, std::string_view { "standard_floor_permille" } },
        std::pair { Field::DeferrableFloorPermille, std::string_view { "deferrable_floor_permille" } },
        std::pair { Field::PreemptDeferrable, std::string_view { "preempt_deferrable" } },
        std::pair { Field::SuspicionFloorMs, std::string_view { "suspicion_floor_ms" } },
        std::pair { Field::SuspicionCeilingMs, std::string_view { "suspicion_ceiling_ms" } },
        std::pair { Field::SuspicionGapFactor, std::string_view { "suspicion_gap_factor" } },
        std::pair { Field::FirstTokenSuspicionMs, std::string_view { "first_token_suspicion_ms" } },
        std::pair { Field::ResumeLimit, std::string_view { "resume_limit" } },
        std::pair { Field::RetryBudgetPermille, std::string_view { "retry_budget_permille" } },
        std::pair { Field::FirstTokenTargetMs, std::string_view { "first_token_target_ms" } },
        std::pair { Field::BetweenTokensTargetMs, std::string_view { "between_tokens_target_ms" } },
        std::pair { Field::ResumeTargetMs, std::string_view { "resume_target_ms" } },
        std::pair { Field::ObjectivePermille, std::string_view { "objective_permille" } },
        std::pair { Field::Idempotent, std::string_view { "idempotent" } },
        std::pair { Field::UpstreamDeduplicates, std::string_view { "upstream_deduplicates" } },
        std::pair { Field::UpstreamChecksFencing, std::string_view { "upstream_checks_fencing" } },
    };
};
