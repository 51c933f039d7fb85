#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::fuzz {

// Readers of bytes that come from outside the process. The first byte of an input chooses one, by its place here, so
// new ones go last.
enum class ReaderKind : uint8_t {
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
};

inline constexpr size_t readerKindCount = 10;

} // namespace redwingseam::fuzz

template<>
struct redwingseam::base::EnumNames<redwingseam::fuzz::ReaderKind> {
    using ReaderKind = redwingseam::fuzz::ReaderKind;
    static constexpr std::array entries {
        std::pair { ReaderKind::PeerMessage, std::string_view { "peer-message" } },
        std::pair { ReaderKind::Manifest, std::string_view { "manifest" } },
        std::pair { ReaderKind::UpstreamPage, std::string_view { "upstream-page" } },
        std::pair { ReaderKind::UpstreamChanges, std::string_view { "upstream-changes" } },
        std::pair { ReaderKind::NodePage, std::string_view { "node-page" } },
        std::pair { ReaderKind::Settings, std::string_view { "settings" } },
        std::pair { ReaderKind::EventStream, std::string_view { "event-stream" } },
        std::pair { ReaderKind::LogLine, std::string_view { "log-line" } },
        std::pair { ReaderKind::Request, std::string_view { "request" } },
        std::pair { ReaderKind::Answer, std::string_view { "answer" } },
    };
};
