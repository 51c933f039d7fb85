#include "http/ClientKeyCodec.h"

#include <array>
#include <cstdio>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace redwingseam::http {

static constexpr size_t digestBytes = 16;

std::string ClientKeyCodec::digest(std::string_view client) const
{
    std::string message = "client-key:" + std::string(client);
    std::array<unsigned char, EVP_MAX_MD_SIZE> raw {};
    unsigned length = 0;
    HMAC(EVP_sha256(), m_secret.data(), static_cast<int>(m_secret.size()),
        reinterpret_cast<const unsigned char*>(message.data()), message.size(), raw.data(), &length);
    std::string hex;
    std::array<char, 3> pair {};
    for (size_t i = 0; i < digestBytes; ++i) {
        std::snprintf(pair.data(), pair.size(), "%02x", raw[i]);
        hex += pair.data();
    }
    return hex;
}

std::string ClientKeyCodec::mint(const base::ClientName& client) const
{
    return client.text + "." + digest(client.text);
}

base::Result<base::ClientName> ClientKeyCodec::verify(std::string_view key) const
{
    base::Error unknown { base::ResultCode::UnknownClient, key.empty() ? "the Authorization header has no bearer key" : "the bearer key in the Authorization header is invalid" };
    auto dot = key.rfind('.');
    if (dot == std::string_view::npos || dot == 0)
        return unknown;
    auto client = key.substr(0, dot);
    auto found = key.substr(dot + 1);
    auto expected = digest(client);
    bool isValid = found.size() == expected.size() && CRYPTO_memcmp(found.data(), expected.data(), expected.size()) == 0;
    if (!isValid)
        return unknown;
    return base::ClientName { std::string(client) };
}

} // namespace redwingseam::http
