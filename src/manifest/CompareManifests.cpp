#include "manifest/CompareManifests.h"

#include "manifest/ManifestIndex.h"
#include "manifest/checks/EntryName.h"

#include <algorithm>
#include <map>

namespace redwingseam::manifest {

using checks::entryName;
using checks::maskedKey;

static std::string millis(base::Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
}

static std::string servicesOf(const Route& route)
{
    std::string text;
    for (const auto& weighted : route.services)
        text += (text.empty() ? "" : ", ") + weighted.service.text + " (" + std::to_string(weighted.weight) + ")";
    return text.empty() ? "no service" : text;
}

static std::string requestsOf(const Route& route)
{
    return "requests to " + route.host + route.prefix;
}

static std::string describe(const Route* route)
{
    return route ? "go to " + servicesOf(*route) : "are answered 404";
}

namespace {

    class Comparison {
    public:
        Comparison(const Manifest& before, const Manifest& after)
            : m_before(before)
            , m_after(after)
        {
        }

        Findings run()
        {
            compareRoutes();
            compareServices();
            compareLimits();
            compareAccounts();
            return std::move(m_findings);
        }

    private:
        using Place = std::pair<std::string, std::string>;

        void add(std::string entry, std::string text) { m_findings.push_back({ FindingKind::Difference, std::move(entry), std::move(text) }); }

        template<typename Value>
        void addChange(const std::string& entry, const char* what, const Value& before, const Value& after)
        {
            if (before != after)
                add(entry, std::string(what) + " " + toText(before) + " -> " + toText(after));
        }
        static std::string toText(base::Duration value) { return millis(value); }
        static std::string toText(bool value) { return value ? "yes" : "no"; }
        static std::string toText(RouteKind value) { return std::string(base::nameOf(value)); }
        template<std::integral Number>
        static std::string toText(Number value) { return std::to_string(value); }

        static std::map<Place, const Route*> byPlace(const Manifest& manifest)
        {
            std::map<Place, const Route*> routes;
            for (const auto& route : manifest.routes)
                routes.emplace(Place { route.host, route.prefix }, &route);
            return routes;
        }

        void compareRoutes()
        {
            auto before = byPlace(m_before.manifest());
            auto after = byPlace(m_after.manifest());
            for (const auto& [place, route] : before) {
                auto found = after.find(place);
                if (found != after.end())
                    compareRoute(*route, *found->second);
                else
                    add(entryName(*route), "removed; " + requestsOf(*route) + " " + describe(m_after.route(route->host, route->prefix)));
            }
            for (const auto& [place, route] : after) {
                if (!before.count(place))
                    add(entryName(*route), "added; " + requestsOf(*route) + " " + describe(route) + " and " + describe(m_before.route(route->host, route->prefix)) + " before");
            }
        }

        void compareRoute(const Route& before, const Route& after)
        {
            auto entry = entryName(after);
            if (servicesOf(before) != servicesOf(after))
                add(entry, requestsOf(after) + " go to " + servicesOf(after) + " in place of " + servicesOf(before));
            addChange(entry, "kind", before.kind, after.kind);
            addChange(entry, "timeout", before.timeout, after.timeout);
            addChange(entry, "latency objective", before.latencyObjective, after.latencyObjective);
            addChange(entry, "gap objective", before.gapObjective, after.gapObjective);
            addChange(entry, "priority", before.priority, after.priority);
            addChange(entry, "attempts", before.maxAttempts, after.maxAttempts);
            addChange(entry, "needs no key", before.skipsAuthentication, after.skipsAuthentication);
            addChange(entry, "resumes", before.isResumable, after.isResumable);
        }

        void compareServices()
        {
            for (const auto& service : m_before.manifest().services) {
                const auto* other = m_after.service(service.name);
                if (!other) {
                    add(entryName(service), "removed");
                    continue;
                }
                addChange(entryName(service), "connections", service.maxConnections, other->maxConnections);
                addChange(entryName(service), "memory for tokens", service.engine ? service.engine->kvCapacityTokens : 0, other->engine ? other->engine->kvCapacityTokens : 0);
            }
            for (const auto& service : m_after.manifest().services) {
                if (!m_before.service(service.name))
                    add(entryName(service), "added");
            }
        }

        void compareLimits()
        {
            const auto& before = m_before.manifest().limits;
            const auto& after = m_after.manifest().limits;
            addChange("limits", "bytes of headers", before.maxHeaderBytes, after.maxHeaderBytes);
            addChange("limits", "bytes of a body", before.maxBodyBytes, after.maxBodyBytes);
            addChange("limits", "header timeout", before.headerTimeout, after.headerTimeout);
            addChange("limits", "idle timeout", before.idleTimeout, after.idleTimeout);
        }

        static const ClientAccount* find(const ManifestIndex& index, const base::ClientName& name)
        {
            auto accounts = index.accounts();
            auto found = std::find_if(accounts.begin(), accounts.end(), [&](const auto& account) { return account.name == name; });
            return found == accounts.end() ? nullptr : &*found;
        }

        void compareAccounts()
        {
            if (m_before.requiresKeys() != m_after.requiresKeys())
                add("accounts", m_after.requiresKeys() ? "requests need a key" : "requests need no key any more");
            for (const auto& account : m_before.accounts()) {
                const auto* other = find(m_after, account.name);
                if (!other)
                    add(entryName(account), "removed");
                for (const auto& key : account.keys) {
                    const auto* owner = m_after.account(key);
                    if (!owner)
                        add(entryName(account), maskedKey(key) + " stops working");
                    else if (owner->name != account.name)
                        add(entryName(account), maskedKey(key) + " goes over to " + entryName(*owner));
                }
                if (other && other->priority != account.priority)
                    add(entryName(account), "priority changed");
            }
            for (const auto& account : m_after.accounts()) {
                if (!find(m_before, account.name))
                    add(entryName(account), "added");
                for (const auto& key : account.keys) {
                    if (!m_before.account(key))
                        add(entryName(account), maskedKey(key) + " is new");
                }
            }
        }

        const ManifestIndex m_before;
        const ManifestIndex m_after;
        Findings m_findings;
    };

} // namespace

Findings compareManifests(const Manifest& before, const Manifest& after)
{
    return Comparison(before, after).run();
}

} // namespace redwingseam::manifest
