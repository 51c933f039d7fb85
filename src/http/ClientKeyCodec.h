#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Result.h"

#include <string>
#include <string_view>

namespace redwingseam::http {

// Creates and verifies the bearer keys of clients. A key is the client's name and an HMAC-SHA-256 of it,
// truncated to 16 bytes, so the server needs no table of keys. Immutable and thread-safe.
class ClientKeyCodec {
public:
    explicit ClientKeyCodec(std::string secret)
        : m_secret(std::move(secret))
    {
    }

    // Returns `NAME.DIGEST` with the digest in hexadecimal.
    std::string mint(const base::ClientName&) const;
    // Returns the client that a key was created for. Error UnknownClient if the key was not created with the
    // same secret.
    base::Result<base::ClientName> verify(std::string_view key) const;

private:
    std::string digest(std::string_view client) const;

    std::string m_secret;
};

} // namespace redwingseam::http
