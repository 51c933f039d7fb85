#pragma once

#include "redwingseam/base/Instant.h"

#include <algorithm>

namespace redwingseam::http {

// The timeout of repeated requests for the same kind of response. It grows while responses begin in time but do not end
// in time, as over a slow link: otherwise each request would discard what the one before it has received. A server that
// does not respond at all leaves it unchanged. Not synchronised.
class TransferTimeout {
public:
    explicit TransferTimeout(base::Duration initial)
        : m_initial(initial)
        , m_current(initial)
    {
    }

    base::Duration current() const { return m_current; }
    void recordPartialResponse() { m_current = std::min(m_current * 2, std::max(m_initial, maxTimeout)); }
    // `took`: from the request to the end of its response.
    void recordResponse(base::Duration took)
    {
        if (took < m_initial)
            m_current = m_initial;
    }

private:
    static constexpr base::Duration maxTimeout = std::chrono::seconds(10);

    base::Duration m_initial;
    base::Duration m_current;
};

} // namespace redwingseam::http
