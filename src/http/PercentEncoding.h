#pragma once

#include <string>
#include <string_view>

namespace redwingseam::http {

// Encodes a text as a value in the query of a URL.
std::string percentEncode(std::string_view text);

} // namespace redwingseam::http
