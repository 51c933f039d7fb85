#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::cli {

// What the command line can do.
enum class Verb : uint8_t {
    Check,
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
struct redwingseam::base::EnumNames<redwingseam::cli::Verb> {
    using Verb = redwingseam::cli::Verb;
    static constexpr std::array entries {
        std::pair { Verb::Check, std::string_view { "check" } },
        std::pair { Verb::Explain, std::string_view { "explain" } },
        std::pair { Verb::Diff, std::string_view { "diff" } },
        std::pair { Verb::Pull, std::string_view { "pull" } },
        std::pair { Verb::Apply, std::string_view { "apply" } },
        std::pair { Verb::Status, std::string_view { "status" } },
        std::pair { Verb::Report, std::string_view { "report" } },
        std::pair { Verb::MintKey, std::string_view { "mint-key" } },
        std::pair { Verb::Reference, std::string_view { "reference" } },
        std::pair { Verb::Logs, std::string_view { "logs" } },
    };
};
