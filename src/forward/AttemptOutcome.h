#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::forward {

// How an attempt at an upstream ended.
enum class AttemptOutcome : uint8_t {
    // A complete response that can be delivered to the client.
    Completed,
    // As Completed, but the response rejects the request, possibly before the upstream has read the prompt.
    Rejected,
    // A complete response that reports a failure of the upstream. The request was run.
    UpstreamError,
    // No connection was established, so nothing was sent.
    NotConnected,
    // The upstream reported that it did not run the request, for lack of capacity or because it came too late.
    NotRun,
    // Not run, because the KV cache backup to resume from does not exist.
    BackupMissing,
    // Not run, because another instance uses the address.
    Misdirected,
    // The connection ended before the first byte of a response. The request may have run.
    LostBeforeResponse,
    // The connection ended within the response. The request may have run.
    LostDuringResponse,
    // The response was malformed. The request may have run.
    Malformed,
    // The upstream sent nothing until the timeout. The request may have run.
    Silent,
};

inline constexpr size_t attemptOutcomeCount = 11;

// Returns whether the request may have run in an attempt with this outcome.
constexpr bool mayHaveRun(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::NotConnected:
    case AttemptOutcome::NotRun:
    case AttemptOutcome::BackupMissing:
    case AttemptOutcome::Misdirected:
        return false;
    case AttemptOutcome::Completed:
    case AttemptOutcome::Rejected:
    case AttemptOutcome::UpstreamError:
    case AttemptOutcome::LostBeforeResponse:
    case AttemptOutcome::LostDuringResponse:
    case AttemptOutcome::Malformed:
    case AttemptOutcome::Silent:
        break;
    }
    return true;
}

// Returns whether the response can be delivered to the client.
constexpr bool isDeliverable(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::Completed || outcome == AttemptOutcome::Rejected;
}

} // namespace redwingseam::forward

template<>
struct redwingseam::base::EnumNames<redwingseam::forward::AttemptOutcome> {
    using AttemptOutcome = redwingseam::forward::AttemptOutcome;
    static constexpr std::array entries {
        std::pair { AttemptOutcome::Completed, std::string_view { "answered" } },
        std::pair { AttemptOutcome::Rejected, std::string_view { "answered-rejection" } },
        std::pair { AttemptOutcome::UpstreamError, std::string_view { "answered-failure" } },
        std::pair { AttemptOutcome::NotConnected, std::string_view { "not-connected" } },
        std::pair { AttemptOutcome::NotRun, std::string_view { "not-run" } },
        std::pair { AttemptOutcome::BackupMissing, std::string_view { "copy-missing" } },
        std::pair { AttemptOutcome::Misdirected, std::string_view { "misdirected" } },
        std::pair { AttemptOutcome::LostBeforeResponse, std::string_view { "lost-before-answer" } },
        std::pair { AttemptOutcome::LostDuringResponse, std::string_view { "lost-in-answer" } },
        std::pair { AttemptOutcome::Malformed, std::string_view { "garbled" } },
        std::pair { AttemptOutcome::Silent, std::string_view { "silent" } },
    };
};
