#pragma once

#include "manifest/ManifestCheck.h"

namespace redwingseam::manifest::checks {

inline std::string entryName(const Route& route) { return "route \"" + route.name.text + "\""; }
inline std::string entryName(const ServiceSpec& service) { return "service \"" + service.name.text + "\""; }
inline std::string entryName(const ClientAccount& account) { return "account \"" + account.name.text + "\""; }

// Keys are never shown whole.
inline std::string maskedKey(const base::ApiKey& key)
{
    static constexpr size_t shown = 4;
    return "key " + key.text.substr(0, key.text.size() > 2 * shown ? shown : 0) + "...";
}

} // namespace redwingseam::manifest::checks
