#pragma once

#include "redwingseam/manifest/Manifest.h"

#include <set>

namespace redwingseam::sync {

// Returns whether clients may take up the streams of the route.
inline bool hasTakeUps(const manifest::Route& route)
{
    return route.kind == manifest::RouteKind::Stream && route.isResumable;
}

inline std::set<base::ServiceName> servicesWithTakeUps(const manifest::Manifest& manifest)
{
    std::set<base::ServiceName> services;
    for (const auto& route : manifest.routes) {
        for (const auto& weighted : route.services) {
            if (hasTakeUps(route))
                services.insert(weighted.service);
        }
    }
    return services;
}

} // namespace redwingseam::sync
