#pragma once

#include "redwingseam/settings/RequestSettings.h"
#include "stream/GapEstimator.h"

namespace redwingseam::stream {

// Returns the time without a token after which an attempt's upstream is suspected to have failed. Before
// the attempt's first token, the timeout is `firstTokenSuspicion`. Afterwards it adapts to the stream's own token
// gaps, within the floor and ceiling of the request's settings.
base::Duration suspicionTimeout(const settings::RequestSettings&, const GapEstimator&, bool hasTokenOfAttempt);

} // namespace redwingseam::stream
