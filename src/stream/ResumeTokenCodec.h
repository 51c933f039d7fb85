#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Result.h"
#include "redwingseam/stream/ResumePoint.h"

#include <string>
#include <string_view>

namespace redwingseam::stream {

// Encodes resume points as resume tokens, which callers receive as the event ids of the stream. A resume
// token is authenticated by an HMAC and bound to a client and to the request's fingerprint. Only a holder of
// the secret can create one. Immutable after construction; thread-safe.
class ResumeTokenCodec {
public:
    explicit ResumeTokenCodec(std::string secret);

    std::string encode(const base::ClientName&, base::Fingerprint, const ResumePoint&) const;

    // Returns the error ResumeRejected if the text is malformed, forged, or was issued for another client or
    // request.
    base::Result<ResumePoint> decode(const base::ClientName&, base::Fingerprint, std::string_view text) const;

private:
    uint64_t computeMac(const base::ClientName&, base::Fingerprint, std::string_view body) const;

    std::string m_secret;
};

} // namespace redwingseam::stream
