#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::cli {

// Subcommands of the redwingseam command line.
enum class Subcommand : uint8_t {
    Check,
    CheckManifest,
    Explain,
    Diff,
    Pull,
    Apply,
    Status,
    Report,
    MintKey,
    Reference,
    Logs,
};

} // namespace redwingseam::cli

template<>
struct redwingseam::base::EnumNames<redwingseam::cli::Subcommand> {
    using Subcommand = redwingseam::cli::Subcommand;
    static constexpr std::array entries {
        std::pair { Subcommand::Check, std::string_view { "check" } },
        std::pair { Subcommand::CheckManifest, std::string_view { "check-manifest" } },
        std::pair { Subcommand::Explain, std::string_view { "explain" } },
        std::pair { Subcommand::Diff, std::string_view { "diff" } },
        std::pair { Subcommand::Pull, std::string_view { "pull" } },
        std::pair { Subcommand::Apply, std::string_view { "apply" } },
        std::pair { Subcommand::Status, std::string_view { "status" } },
        std::pair { Subcommand::Report, std::string_view { "report" } },
        std::pair { Subcommand::MintKey, std::string_view { "mint-key" } },
        std::pair { Subcommand::Reference, std::string_view { "reference" } },
        std::pair { Subcommand::Logs, std::string_view { "logs" } },
    };
};
