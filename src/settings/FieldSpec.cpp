#include "redwingseam/settings/FieldSpec.h"

namespace redwingseam::settings {

const std::array<FieldSpec, fieldCount> fieldSpecs { {
    { Field::Rank, FieldKind::RankName, 0, 2, 1, "", "Rank of the work: urgent, standard or deferrable." },
    { Field::Weight, FieldKind::Integer, 1, 1000, 100, "", "Weight of a client in fair sharing with others of the same rank." },
    { Field::DeadlineMs, FieldKind::Integer, 1, 3'600'000, 60'000, "ms", "Longest time that a request may wait in the queue before it is refused." },
    { Field::QueueLimit, FieldKind::Integer, 1, 100'000, 1'000, "requests", "Queued requests that one client may have at one VM." },
    { Field::MaxTokens, FieldKind::Integer, 1, 200'000, 32'000, "tokens", "Longest answer that a request may ask for." },
    { Field::StandardFloorPermille, FieldKind::Integer, 0, 500, 150, "1/1000", "Guaranteed share of capacity of standard work while urgent work overloads the system." },
    { Field::DeferrableFloorPermille, FieldKind::Integer, 0, 500, 50, "1/1000", "Guaranteed share of capacity of deferrable work while other work overloads the system." },
    { Field::PreemptDeferrable, FieldKind::Boolean, 0, 1, 1, "", "Whether urgent work preempts deferrable streams, which are resumed later." },
    { Field::SuspicionFloorMs, FieldKind::Integer, 10, 60'000, 400, "ms", "Lower bound of the time without a token after which an upstream is suspected." },
    { Field::SuspicionCeilingMs, FieldKind::Integer, 10, 60'000, 3'000, "ms", "Upper bound of the time without a token after which an upstream is suspected." },
    { Field::SuspicionGapFactor, FieldKind::Integer, 2, 100, 8, "", "Time without a token, as a multiple of the stream's mean token gap, after which an upstream is suspected." },
    { Field::FirstTokenSuspicionMs, FieldKind::Integer, 10, 120'000, 4'000, "ms", "Time without the first token of an attempt after which its upstream is suspected." },
    { Field::ResumeLimit, FieldKind::Integer, 0, 100, 12, "attempts", "Attempts allowed for a request after the first one." },
    { Field::RetryBudgetPermille, FieldKind::Integer, 0, 1000, 200, "1/1000", "Retries allowed per first attempt, over a sliding window." },
    { Field::FirstTokenTargetMs, FieldKind::Integer, 1, 600'000, 1'500, "ms", "Objective for the time to the first token." },
    { Field::BetweenTokensTargetMs, FieldKind::Integer, 1, 60'000, 39, "ms", "Objective for the mean time between tokens." },
    { Field::ResumeTargetMs, FieldKind::Integer, 1, 60'000, 5'000, "ms", "Objective for the time without a token that a caller sees when a stream is resumed." },
    { Field::ObjectivePermille, FieldKind::Integer, 0, 1000, 950, "1/1000", "Share of requests that must meet each objective." },
    { Field::Idempotent, FieldKind::Boolean, 0, 1, 1, "", "Whether a plain service call may be repeated." },
    { Field::UpstreamDeduplicates, FieldKind::Boolean, 0, 1, 0, "", "Whether the service itself runs each idempotency key at most once." },
    { Field::UpstreamChecksFencing, FieldKind::Boolean, 0, 1, 0, "", "Whether engines refuse a command that carries an outdated fencing number." },
} };

} // namespace redwingseam::settings
