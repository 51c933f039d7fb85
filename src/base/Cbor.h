#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace redwingseam::base {

// Parses one CBOR item that spans all of `bytes`. Returns std::nullopt if the item is malformed, nests deeper than
// 16 levels, or announces more members than there are bytes.
std::optional<nlohmann::json> parseCbor(std::string_view bytes);

} // namespace redwingseam::base
