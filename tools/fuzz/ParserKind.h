#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::fuzz {

// Parsers of bytes that come from outside the process. The first byte of an input selects the parser by its position
// in this list, so new parsers are added at the end.
enum class ParserKind : uint8_t {
    PeerMessage,
    Manifest,
    UpstreamPage,
    UpstreamChanges,
    NodePage,
    Settings,
    EventStream,
    LogLine,
    Request,
    Answer,
    ManifestFile,
    QuarantinePage,
};

inline constexpr size_t parserKindCount = 12;

} // namespace redwingseam::fuzz

template<>
struct redwingseam::base::EnumNames<redwingseam::fuzz::ParserKind> {
    using ParserKind = redwingseam::fuzz::ParserKind;
    static constexpr std::array entries {
        std::pair { ParserKind::PeerMessage, std::string_view { "peer-message" } },
        std::pair { ParserKind::Manifest, std::string_view { "manifest" } },
        std::pair { ParserKind::UpstreamPage, std::string_view { "upstream-page" } },
        std::pair { ParserKind::UpstreamChanges, std::string_view { "upstream-changes" } },
        std::pair { ParserKind::NodePage, std::string_view { "node-page" } },
        std::pair { ParserKind::Settings, std::string_view { "settings" } },
        std::pair { ParserKind::EventStream, std::string_view { "event-stream" } },
        std::pair { ParserKind::LogLine, std::string_view { "log-line" } },
        std::pair { ParserKind::Request, std::string_view { "request" } },
        std::pair { ParserKind::Answer, std::string_view { "answer" } },
        std::pair { ParserKind::ManifestFile, std::string_view { "manifest-file" } },
        std::pair { ParserKind::QuarantinePage, std::string_view { "quarantine-page" } },
    };
};
