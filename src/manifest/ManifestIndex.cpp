#include "manifest/ManifestIndex.h"

#include "base/AsciiCase.h"

#include <algorithm>

namespace redwingseam::manifest {

ManifestIndex::ManifestIndex(Manifest manifest)
    : m_manifest(std::move(manifest))
{
    for (const auto& route : m_manifest.routes)
        m_routesByHost[base::lowerCase(route.host)].push_back(&route);
    for (auto& [host, routes] : m_routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route* left, const Route* right) {
            return left->prefix.size() > right->prefix.size();
        });
    }
    for (const auto& account : accounts()) {
        for (const auto& key : account.keys)
            m_accountsByKey.emplace(key, &account);
    }
}

const Route* ManifestIndex::route(std::string_view host, std::string_view path) const
{
    auto found = m_routesByHost.find(base::lowerCase(host));
    if (found == m_routesByHost.end())
        return nullptr;
    for (const auto* route : found->second) {
        if (path.starts_with(route->prefix))
            return route;
    }
    return nullptr;
}

std::span<const ClientAccount> ManifestIndex::accounts() const
{
    if (!m_manifest.accounts)
        return {};
    return *m_manifest.accounts;
}

const ClientAccount* ManifestIndex::account(const base::ApiKey& key) const
{
    auto found = m_accountsByKey.find(key);
    return found == m_accountsByKey.end() ? nullptr : found->second;
}

const ServiceSpec* ManifestIndex::service(const base::ServiceName& name) const
{
    for (const auto& service : m_manifest.services) {
        if (service.name == name)
            return &service;
    }
    return nullptr;
}

} // namespace redwingseam::manifest
