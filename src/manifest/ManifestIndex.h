#pragma once

#include "redwingseam/manifest/Manifest.h"

#include <string_view>
#include <unordered_map>

namespace redwingseam::manifest {

// A manifest with indexes for the lookups of each request. Returned pointers are valid while the index exists.
// Immutable and therefore thread-safe.
class ManifestIndex {
public:
    explicit ManifestIndex(Manifest);

    const Manifest& manifest() const { return m_manifest; }
    // Returns the route of the host with the longest prefix of `path`, or null if there is none.
    const Route* route(std::string_view host, std::string_view path) const;
    // Returns the account that owns `key`, or null if there is none.
    const ClientAccount* account(const base::ApiKey& key) const;
    // Returns the service of that name, or null if there is none.
    const ServiceSpec* service(const base::ServiceName&) const;
    // A manifest without accounts requires no keys.
    bool requiresKeys() const { return !m_manifest.accounts.empty(); }

private:
    Manifest m_manifest;
    // Sorted by prefix length, longest first.
    std::unordered_map<std::string, std::vector<const Route*>> m_routesByHost;
    std::unordered_map<base::ApiKey, const ClientAccount*> m_accountsByKey;
};

} // namespace redwingseam::manifest
