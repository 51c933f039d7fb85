#pragma once

#include "redwingseam/manifest/Manifest.h"

#include <string_view>
#include <unordered_map>

namespace redwingseam::manifest {

// A manifest with the look-ups that each request needs. Immutable, so any thread may read it.
class ManifestIndex {
public:
    explicit ManifestIndex(Manifest);

    const Manifest& manifest() const { return m_manifest; }
    // The host's route with the longest prefix of `path`; null if there is none.
    const Route* route(std::string_view host, std::string_view path) const;
    // The account that holds `key`; null if none does.
    const ClientAccount* account(const base::ApiKey& key) const;
    const ServiceSpec* service(const base::ServiceName&) const;
    bool requiresKeys() const { return !m_manifest.accounts.empty(); }

private:
    Manifest m_manifest;
    // Longest prefix first.
    std::unordered_map<std::string, std::vector<const Route*>> m_routesByHost;
    std::unordered_map<base::ApiKey, const ClientAccount*> m_accountsByKey;
};

} // namespace redwingseam::manifest
