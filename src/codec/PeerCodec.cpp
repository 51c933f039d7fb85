#include "codec/PeerCodec.h"

#include "base/Cbor.h"
#include "codec/ClaimCodec.h"
#include "codec/GossipEntryCodec.h"
#include "codec/JsonReader.h"
#include "codec/MessageType.h"

namespace redwingseam::codec {

using nlohmann::json;

static json format(const peer::Heartbeat& message)
{
    return { { "from", message.from.text } };
}

static json format(const peer::Gossip& message)
{
    auto entries = json::array();
    for (const auto& entry : message.entries)
        entries.push_back(format(entry));
    return { { "from", message.from.text }, { "facts", std::move(entries) } };
}

static json format(const peer::Digest& message)
{
    return { { "from", message.from.text }, { "reply", message.replyAddress }, { "buckets", message.bucketHashes }, { "wants", message.wantsReplyDigest } };
}

static json format(const peer::ClaimRelay& message)
{
    auto records = json::array();
    for (const auto& record : message.records)
        records.push_back(format(record));
    return { { "from", message.from.text }, { "records", std::move(records) } };
}

static json format(const peer::ClaimDecided& message)
{
    return { { "from", message.from.text }, { "holder", message.holder }, { "kind", base::nameOf(message.kind) }, { "in_force", format(message.effectiveRecord) } };
}

std::string formatMessage(const peer::PeerMessage& message)
{
    auto document = std::visit([](const auto& alternative) { return format(alternative); }, message);
    document["type"] = message.index();
    std::string bytes;
    json::to_cbor(document, bytes);
    return bytes;
}

static std::optional<peer::PeerMessage> parseGossip(JsonReader& reader)
{
    peer::Gossip message { { reader.text("from") }, {} };
    for (const auto& item : reader.array("facts")) {
        auto entry = parseGossipEntry(item);
        if (!entry)
            return std::nullopt;
        message.entries.push_back(std::move(*entry));
    }
    return message;
}

static std::optional<peer::PeerMessage> parseDigest(JsonReader& reader)
{
    peer::Digest message { { reader.text("from") }, reader.text("reply"), {}, reader.flag("wants") };
    for (const auto& item : reader.array("buckets")) {
        if (!item.is_number_unsigned())
            return std::nullopt;
        message.bucketHashes.push_back(item.get<uint64_t>());
    }
    return message;
}

static std::optional<peer::PeerMessage> parseClaimRelay(JsonReader& reader)
{
    peer::ClaimRelay message { { reader.text("from") }, {} };
    for (const auto& item : reader.array("records")) {
        auto record = parseClaimRecord(item);
        if (!record)
            return std::nullopt;
        message.records.push_back(std::move(*record));
    }
    return message;
}

static std::optional<peer::PeerMessage> parseClaimDecided(JsonReader& reader)
{
    auto record = parseClaimRecord(reader.object("in_force"));
    if (!record)
        return std::nullopt;
    return peer::ClaimDecided { { reader.text("from") }, reader.number("holder"), reader.enumValue<claim::RecordKind>("kind"), std::move(*record) };
}

static std::optional<peer::PeerMessage> parseAs(MessageType type, JsonReader& reader)
{
    switch (type) {
    case MessageType::Heartbeat:
        return peer::Heartbeat { { reader.text("from") } };
    case MessageType::Gossip:
        return parseGossip(reader);
    case MessageType::Digest:
        return parseDigest(reader);
    case MessageType::ClaimRelay:
        return parseClaimRelay(reader);
    case MessageType::ClaimDecided:
        return parseClaimDecided(reader);
    }
    return std::nullopt;
}

std::optional<peer::PeerMessage> parseMessage(std::string_view bytes)
{
    auto document = base::parseCbor(bytes);
    if (!document)
        return std::nullopt;
    JsonReader reader(*document);
    auto type = reader.number("type");
    bool isKnown = reader.isGood() && type < base::EnumNames<MessageType>::entries.size();
    if (!isKnown)
        return std::nullopt;
    auto message = parseAs(static_cast<MessageType>(type), reader);
    return reader.isGood() ? std::move(message) : std::nullopt;
}

} // namespace redwingseam::codec
