#pragma once

#include "redwingseam/claim/Checkpoint.h"
#include "redwingseam/claim/ClaimBatch.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>

namespace redwingseam::codec {

// Convert claim records to and from JSON. The parse functions return nothing if a member is missing or
// malformed.
nlohmann::json format(const claim::ClaimRecord&);
nlohmann::json format(const claim::ClaimBatch&);
nlohmann::json format(const claim::Checkpoint&);
std::optional<claim::ClaimRecord> parseClaimRecord(const nlohmann::json&);
std::optional<claim::ClaimBatch> parseClaimBatch(const nlohmann::json&);
std::optional<claim::Checkpoint> parseCheckpoint(const nlohmann::json&);

} // namespace redwingseam::codec
