#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace redwingseam::base {

// Compresses text in the deflate format (RFC 1951).
std::string compress(std::string_view text);

// Returns nullopt if `bytes` is malformed or incomplete, or its text is longer than `maxBytes`.
std::optional<std::string> decompress(std::string_view bytes, size_t maxBytes);

} // namespace redwingseam::base
