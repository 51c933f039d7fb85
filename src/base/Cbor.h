#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace redwingseam::base {

// Reads one CBOR item that fills `bytes`. Nothing if it is damaged, nests too deeply, or announces more members than
// there are bytes.
std::optional<nlohmann::json> parseCbor(std::string_view bytes);

} // namespace redwingseam::base
