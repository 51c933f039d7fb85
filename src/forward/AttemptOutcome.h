#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::forward {

// How an attempt at an upstream ended.
enum class AttemptOutcome : uint8_t {
    // A whole answer that is the client's.
    Answered,
    // A whole answer that reports a failure of the upstream; the request was run.
    AnsweredFailure,
    // No connection, so nothing was sent.
    NotConnected,
    // The upstream said that it did not run the request: no room, or too late.
    NotRun,
    // Not run, because the copy that it should have gone on from is not there.
    BackupMissing,
    // Another instance has the address; not run.
    Misdirected,
    // The connection ended before the first byte of an answer. May have run.
    LostBeforeAnswer,
    // The connection ended inside the answer.
    LostInAnswer,
    // Bytes that are no answer. May have run.
    Garbled,
    // The upstream said nothing for too long. May have run.
    Silent,
};

inline constexpr size_t attemptOutcomeCount = 10;

// Whether the request may have been run in an attempt that ended so.
constexpr bool mayHaveRun(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::NotConnected:
    case AttemptOutcome::NotRun:
    case AttemptOutcome::BackupMissing:
    case AttemptOutcome::Misdirected:
        return false;
    case AttemptOutcome::Answered:
    case AttemptOutcome::AnsweredFailure:
    case AttemptOutcome::LostBeforeAnswer:
    case AttemptOutcome::LostInAnswer:
    case AttemptOutcome::Garbled:
    case AttemptOutcome::Silent:
        break;
    }
    return true;
}

} // namespace redwingseam::forward

template<>
struct redwingseam::base::EnumNames<redwingseam::forward::AttemptOutcome> {
    using AttemptOutcome = redwingseam::forward::AttemptOutcome;
    static constexpr std::array entries {
        std::pair { AttemptOutcome::Answered, std::string_view { "answered" } },
        std::pair { AttemptOutcome::AnsweredFailure, std::string_view { "answered-failure" } },
        std::pair { AttemptOutcome::NotConnected, std::string_view { "not-connected" } },
        std::pair { AttemptOutcome::NotRun, std::string_view { "not-run" } },
        std::pair { AttemptOutcome::BackupMissing, std::string_view { "copy-missing" } },
        std::pair { AttemptOutcome::Misdirected, std::string_view { "misdirected" } },
        std::pair { AttemptOutcome::LostBeforeAnswer, std::string_view { "lost-before-answer" } },
        std::pair { AttemptOutcome::LostInAnswer, std::string_view { "lost-in-answer" } },
        std::pair { AttemptOutcome::Garbled, std::string_view { "garbled" } },
        std::pair { AttemptOutcome::Silent, std::string_view { "silent" } },
    };
};
