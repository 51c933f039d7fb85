#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Result.h"

#include <string>
#include <string_view>

namespace redwingseam::http {

// Makes and checks the bearer keys of clients: the client's name and a keyed digest of it, so that no
// table of keys has to be kept. Immutable; thread-safe.
class ClientKeyCodec {
public:
    explicit ClientKeyCodec(std::string secret)
        : m_secret(std::move(secret))
    {
    }

    std::string mint(const base::ClientName&) const;
    // Error UnknownClient for anything that was not minted with the same secret.
    base::Result<base::ClientName> verify(std::string_view key) const;

private:
    std::string digest(std::string_view client) const;

    std::string m_secret;
};

} // namespace redwingseam::http
