#include "stream/ResumeTokenCodec.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <optional>

namespace redwingseam::stream {

static constexpr size_t maxEncodedLength = 256;

ResumeTokenCodec::ResumeTokenCodec(std::string secret)
    : m_secret(std::move(secret))
{
}

std::string ResumeTokenCodec::encode(const base::ClientName& client, base::Fingerprint fingerprint, const ResumePoint& point) const
{
    std::array<char, 64> numbers {};
    std::snprintf(numbers.data(), numbers.size(), "%x.%lx.%lx.", point.delivered, point.transcriptHash, point.seed);
    auto body = numbers.data() + point.pool.text;
    std::array<char, 24> mac {};
    std::snprintf(mac.data(), mac.size(), "%016lx.", computeMac(client, fingerprint, body));
    return mac.data() + body;
}

static std::optional<uint64_t> takeHex(std::string_view& text)
{
    auto dot = text.find('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    uint64_t value = 0;
    auto [end, failure] = std::from_chars(text.data(), text.data() + dot, value, 16);
    if (failure != std::errc {} || end != text.data() + dot)
        return std::nullopt;
    text.remove_prefix(dot + 1);
    return value;
}

base::Result<ResumePoint> ResumeTokenCodec::decode(const base::ClientName& client, base::Fingerprint fingerprint, std::string_view text) const
{
    base::Error rejected { base::ResultCode::ResumeRejected, "the event id is malformed or was not issued for this client and request" };
    if (text.size() > maxEncodedLength)
        return rejected;
    auto mac = takeHex(text);
    auto body = text;
    auto delivered = takeHex(text);
    auto transcriptHash = takeHex(text);
    auto seed = takeHex(text);
    if (!mac || !delivered || !transcriptHash || !seed || *delivered > UINT32_MAX)
        return rejected;
    auto expected = computeMac(client, fingerprint, body);
    if (CRYPTO_memcmp(&expected, &*mac, sizeof expected) != 0)
        return rejected;
    return ResumePoint { static_cast<uint32_t>(*delivered), *transcriptHash, *seed, { std::string(text) } };
}

uint64_t ResumeTokenCodec::computeMac(const base::ClientName& client, base::Fingerprint fingerprint, std::string_view body) const
{
    // The length prefix keeps the client's name and the body unambiguous, so that two different pairs
    // never yield the same message.
    std::string message = std::to_string(client.text.size()) + ":" + client.text + ":" + std::to_string(fingerprint.value) + ":";
    message += body;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned length = 0;
    HMAC(EVP_sha256(), m_secret.data(), static_cast<int>(m_secret.size()),
        reinterpret_cast<const unsigned char*>(message.data()), message.size(), digest.data(), &length);
    // The MAC is cut to 64 bits and read in host byte order, so hosts of different byte order reject each
    // other's event ids.
    uint64_t word = 0;
    std::memcpy(&word, digest.data(), sizeof word);
    return word;
}

} // namespace redwingseam::stream
