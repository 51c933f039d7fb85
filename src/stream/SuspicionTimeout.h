#pragma once

#include "redwingseam/settings/Policy.h"
#include "stream/GapEstimator.h"

namespace redwingseam::stream {

// Silence after which an attempt's upstream is suspected. Before the attempt's first token the limit
// is the policy's; afterwards it follows the stream's own gaps, within the policy's floor and ceiling.
base::Duration suspicionTimeout(const settings::Policy&, const GapEstimator&, bool hasTokenOfAttempt);

} // namespace redwingseam::stream
