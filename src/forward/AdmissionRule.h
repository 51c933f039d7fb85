#pragma once

#include "forward/Admission.h"
#include "forward/AdmissionQuery.h"

namespace redwingseam::forward {

// Admits requests by the newest known manifest. A request with a key is admitted only if the manifest was confirmed
// to be the newest less than `maxConfirmationAge` ago, because the key may have been revoked since.
class AdmissionRule {
public:
    // Zero disables the limit, so that keys are accepted however old the manifest is.
    explicit AdmissionRule(base::Duration maxConfirmationAge)
        : m_maxConfirmationAge(maxConfirmationAge)
    {
    }

    Admission admit(const manifest::ManifestState&, const AdmissionQuery&) const;
    // Returns whether a request with a key could be admitted.
    bool acceptsKeys(const manifest::ManifestState&, base::Instant now) const;

private:
    base::Duration m_maxConfirmationAge;
};

} // namespace redwingseam::forward
