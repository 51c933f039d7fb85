#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::base {

// Numbered outcome of an operation. docs/ERRORS.md lists the number, name and meaning of each; a number is never
// reused.
enum class ResultCode : uint16_t {
    Ok = 0,
    MalformedRequest = 101,
    RequestTooLarge = 102,
    HeadersTooLarge = 108,
    UnknownModel = 103,
    UnknownClient = 104,
    UnknownRoute = 105,
    MissingIdempotencyKey = 106,
    ResumeRejected = 107, // The request does not match the stream that it asks to resume.
    QueueFull = 201,
    DeadlinePassed = 202,
    Draining = 203,
    NoUpstream = 204,
    ClaimStoreUnavailable = 205, // The idempotency key could not be recorded, so the call was not sent.
    ManifestUnknown = 206, // The gateway has no manifest yet.
    ManifestStale = 207, // The manifest was last confirmed too long ago to rely on its routes and API keys.
    RequestTimeout = 208,
    BuffersExhausted = 209, // The node buffers too much already to read another body.
    StreamOriginUnknown = 210, // Nobody knows at which software version the stream began, so it cannot go on.
    SoftwareVersionGone = 211, // No upstream of the version that began the stream is left.
    OutcomeUnknown = 301, // The request was sent and may have been executed.
    StreamLost = 302, // The response has begun and cannot be continued.
    RetriesExhausted = 303,
    HarmfulRequest = 304, // The request is quarantined because upstreams crashed while they ran it.
    KeyInUse = 305,
    SettingsUnreadable = 401,
    SettingsInvalid = 402,
    SettingsConflict = 403,
    UnknownBranch = 404,
    PlatformUnavailable = 501,
    PlatformConflict = 502,
    PlatformNotFound = 503,
    PlatformThrottled = 504,
    SocketFailure = 601,
    MessageMalformed = 602,
};

template<>
struct EnumNames<ResultCode> {
    static constexpr std::array entries {
        std::pair { ResultCode::Ok, std::string_view { "Ok" } },
        std::pair { ResultCode::MalformedRequest, std::string_view { "MalformedRequest" } },
        std::pair { ResultCode::RequestTooLarge, std::string_view { "RequestTooLarge" } },
        std::pair { ResultCode::HeadersTooLarge, std::string_view { "HeadersTooLarge" } },
        std::pair { ResultCode::UnknownModel, std::string_view { "UnknownModel" } },
        std::pair { ResultCode::UnknownClient, std::string_view { "UnknownClient" } },
        std::pair { ResultCode::UnknownRoute, std::string_view { "UnknownRoute" } },
        std::pair { ResultCode::MissingIdempotencyKey, std::string_view { "MissingIdempotencyKey" } },
        std::pair { ResultCode::ResumeRejected, std::string_view { "ResumeRejected" } },
        std::pair { ResultCode::QueueFull, std::string_view { "QueueFull" } },
        std::pair { ResultCode::DeadlinePassed, std::string_view { "DeadlinePassed" } },
        std::pair { ResultCode::Draining, std::string_view { "Draining" } },
        std::pair { ResultCode::NoUpstream, std::string_view { "NoUpstream" } },
        std::pair { ResultCode::ClaimStoreUnavailable, std::string_view { "ClaimStoreUnavailable" } },
        std::pair { ResultCode::ManifestUnknown, std::string_view { "ManifestUnknown" } },
        std::pair { ResultCode::ManifestStale, std::string_view { "ManifestStale" } },
        std::pair { ResultCode::RequestTimeout, std::string_view { "RequestTimeout" } },
        std::pair { ResultCode::BuffersExhausted, std::string_view { "BuffersExhausted" } },
        std::pair { ResultCode::StreamOriginUnknown, std::string_view { "StreamOriginUnknown" } },
        std::pair { ResultCode::SoftwareVersionGone, std::string_view { "SoftwareVersionGone" } },
        std::pair { ResultCode::OutcomeUnknown, std::string_view { "OutcomeUnknown" } },
        std::pair { ResultCode::StreamLost, std::string_view { "StreamLost" } },
        std::pair { ResultCode::RetriesExhausted, std::string_view { "RetriesExhausted" } },
        std::pair { ResultCode::HarmfulRequest, std::string_view { "HarmfulRequest" } },
        std::pair { ResultCode::KeyInUse, std::string_view { "KeyInUse" } },
        std::pair { ResultCode::SettingsUnreadable, std::string_view { "SettingsUnreadable" } },
        std::pair { ResultCode::SettingsInvalid, std::string_view { "SettingsInvalid" } },
        std::pair { ResultCode::SettingsConflict, std::string_view { "SettingsConflict" } },
        std::pair { ResultCode::UnknownBranch, std::string_view { "UnknownBranch" } },
        std::pair { ResultCode::PlatformUnavailable, std::string_view { "PlatformUnavailable" } },
        std::pair { ResultCode::PlatformConflict, std::string_view { "PlatformConflict" } },
        std::pair { ResultCode::PlatformNotFound, std::string_view { "PlatformNotFound" } },
        std::pair { ResultCode::PlatformThrottled, std::string_view { "PlatformThrottled" } },
        std::pair { ResultCode::SocketFailure, std::string_view { "SocketFailure" } },
        std::pair { ResultCode::MessageMalformed, std::string_view { "MessageMalformed" } },
    };
};

} // namespace redwingseam::base
