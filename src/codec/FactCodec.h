#pragma once

#include "redwingseam/membership/GossipEntry.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>

namespace redwingseam::codec {

// JSON forms of facts and their bodies. `parse…` returns nothing for JSON of another form.
nlohmann::json format(const membership::GossipEntry&);
nlohmann::json format(const membership::VmRecord&);
nlohmann::json format(const route::UpstreamRecord&);
nlohmann::json format(const settings::Branch&);
std::optional<membership::GossipEntry> parseFact(const nlohmann::json&);
std::optional<membership::VmRecord> parseVmRecord(const nlohmann::json&);
std::optional<route::UpstreamRecord> parseUpstreamRecord(const nlohmann::json&);
std::optional<settings::Branch> parseBranchObject(const nlohmann::json&);

} // namespace redwingseam::codec
