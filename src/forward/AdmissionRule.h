#pragma once

#include "forward/Admission.h"
#include "forward/AdmissionQuery.h"

namespace redwingseam::forward {

// Admits requests by the newest known manifest. A request with a key is admitted only while the manifest
// is known to have been the newest less than `maxConfirmationAge` ago, since the key may have been revoked
// meanwhile.
class AdmissionRule {
public:
    // Zero: keys are accepted however old the manifest is.
    explicit AdmissionRule(base::Duration maxConfirmationAge)
        : m_maxConfirmationAge(maxConfirmationAge)
    {
    }

    Admission admit(const manifest::ManifestState&, const AdmissionQuery&) const;
    // Whether a request with a key could be admitted.
    bool acceptsKeys(const manifest::ManifestState&, base::Instant now) const;

private:
    base::Duration m_maxConfirmationAge;
};

} // namespace redwingseam::forward
