#include "forward/AdmissionRule.h"

namespace redwingseam::forward {

using base::ResultCode;

bool AdmissionRule::acceptsKeys(const manifest::ManifestState& state, base::Instant now) const
{
    if (!state.index)
        return false;
    return m_maxConfirmationAge == base::Duration {} || now - state.confirmedAt < m_maxConfirmationAge;
}

Admission AdmissionRule::admit(const manifest::ManifestState& state, const AdmissionQuery& query) const
{
    if (!state.index)
        return { ResultCode::ManifestUnknown };
    Admission admission { ResultCode::Ok, state.index };
    admission.route = state.index->route(query.host, query.path);
    if (admission.route && (admission.route->skipsAuthentication || !state.index->requiresKeys()))
        return admission;
    // An outdated manifest proves neither that a route does not exist nor that a key is still valid.
    if (!acceptsKeys(state, query.now))
        return { ResultCode::ManifestStale };
    if (!admission.route)
        return { ResultCode::UnknownRoute };
    admission.account = state.index->account(query.key);
    if (!admission.account)
        return { ResultCode::UnknownClient };
    return admission;
}

} // namespace redwingseam::forward
