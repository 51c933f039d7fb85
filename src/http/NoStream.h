#pragma once

#include <optional>
#include <string>

namespace redwingseam::http {

// Stream type for handlers that never stream a response body.
struct NoStream {
    std::optional<std::string> next() { return std::nullopt; }
};

} // namespace redwingseam::http
