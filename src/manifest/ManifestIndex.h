#pragma once

#include "redwingseam/manifest/Manifest.h"

#include <span>
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
    // Whether requests need a key. A list of accounts without entries requires keys, and none is valid.
    bool requiresKeys() const { return m_manifest.accounts.has_value(); }
    // Returns the accounts, or none if no request needs a key.
    std::span<const ClientAccount> accounts() const;

private:
    Manifest m_manifest;
    // Sorted by prefix length, longest first.
    std::unordered_map<std::string, std::vector<const Route*>> m_routesByHost;
    std::unordered_map<base::ApiKey, const ClientAccount*> m_accountsByKey;
};

} // namespace redwingseam::manifest
