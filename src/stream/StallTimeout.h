#pragma once

#include "redwingseam/settings/RequestSettings.h"
#include "stream/TokenIntervalEstimator.h"

namespace redwingseam::stream {

// Returns the time without a token after which an attempt's upstream is suspected to have failed. Before
// the attempt's first token, the timeout is `firstTokenSuspicion` `firstTokenSuspicion`. Afterwards it adapts to the
// stream's own token intervals, within `suspicionFloor` and `suspicionCeiling`; without a sample it is the
// ceiling.
base::Duration stallTimeout(const settings::RequestSettings&, const TokenIntervalEstimator&, bool hasTokenOfAttempt);

} // namespace redwingseam::stream
