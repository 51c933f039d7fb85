#pragma once

#include "redwingseam/membership/GossipEntry.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>

namespace redwingseam::codec {

// Convert gossip entries and their bodies to and from JSON. The parse functions return nothing if a member
// is missing or malformed. parseBranchObject also reads the path and version, unlike settings::parseBranch.
nlohmann::json format(const membership::GossipEntry&);
nlohmann::json format(const membership::VmRecord&);
nlohmann::json format(const route::UpstreamRecord&);
nlohmann::json format(const settings::Branch&);
std::optional<membership::GossipEntry> parseGossipEntry(const nlohmann::json&);
std::optional<membership::VmRecord> parseVmRecord(const nlohmann::json&);
std::optional<route::UpstreamRecord> parseUpstreamRecord(const nlohmann::json&);
std::optional<settings::Branch> parseBranchObject(const nlohmann::json&);

} // namespace redwingseam::codec
