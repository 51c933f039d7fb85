#pragma once

#include <optional>
#include <string>

namespace redwingseam::http {

// For servers whose answers are always whole.
struct NoStream {
    std::optional<std::string> next() { return std::nullopt; }
};

} // namespace redwingseam::http
