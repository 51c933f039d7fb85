#pragma once

#include "origin/OriginSource.h"
#include "origin/StreamOrigin.h"

namespace redwingseam::origin {

// Where a stream must have begun, by the list of upstreams. Holds only if that list is current (ListCurrency).
struct InferredOrigin {
    StreamOrigin origin;
    OriginSource source = OriginSource::OnlyVersion;
};

} // namespace redwingseam::origin
