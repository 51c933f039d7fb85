#include "manifest/CheckManifest.h"

#include "manifest/checks/AccountKeys.h"
#include "manifest/checks/EnginesOfStreams.h"
#include "manifest/checks/HiddenRoutes.h"
#include "manifest/checks/LimitsOfClients.h"
#include "manifest/checks/RepeatedNames.h"
#include "manifest/checks/RouteAttempts.h"
#include "manifest/checks/RouteServices.h"
#include "manifest/checks/RouteTimes.h"

namespace redwingseam::manifest {

template<ManifestCheck... Checks>
struct CheckTable {
    static Findings run(const ManifestIndex& index)
    {
        Findings findings;
        (Checks::run(index, findings), ...);
        return findings;
    }
};

using AllChecks = CheckTable<checks::HiddenRoutes, checks::RouteServices, checks::AccountKeys, checks::RepeatedNames, checks::RouteTimes, checks::RouteAttempts, checks::LimitsOfClients, checks::EnginesOfStreams>;

Findings checkManifest(const Manifest& manifest)
{
    return AllChecks::run(ManifestIndex(manifest));
}

} // namespace redwingseam::manifest
