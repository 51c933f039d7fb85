#pragma once

#include "redwingseam/settings/Policy.h"
#include "stream/TokenIntervalEstimator.h"

namespace redwingseam::stream {

// Returns the time without a token after which an attempt's upstream is suspected to have failed. Before
// the attempt's first token, the timeout is the policy's `firstTokenSuspicion`. Afterwards it adapts to the
// stream's own token intervals, within `suspicionFloor` and `suspicionCeiling`; without a sample it is the
// ceiling.
base::Duration stallTimeout(const settings::Policy&, const TokenIntervalEstimator&, bool hasTokenOfAttempt);

} // namespace redwingseam::stream
