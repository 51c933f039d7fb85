#include "codec/ObjectCodec.h"

#include "base/JsonText.h"
#include "codec/ClaimCodec.h"
#include "codec/GossipEntryCodec.h"
#include "codec/JsonReader.h"
#include "codec/ObjectType.h"

namespace redwingseam::codec {

using nlohmann::json;

static json format(const store::BranchEdit& raw)
{
    return { { "path", raw.path }, { "json", raw.json } };
}

static json format(const store::AcceptedBranch& accepted)
{
    return { { "branch", format(accepted.branch) }, { "raw_version", accepted.editVersion.value } };
}

static json format(const store::BranchStatus& status)
{
    return { { "path", status.path }, { "raw_version", status.editVersion.value }, { "accepted", status.isAccepted }, { "reason", status.reason } };
}

static json format(const store::Lease& lease)
{
    return {
        { "holder", lease.holder.text },
        { "holder_incarnation", lease.holderIncarnation },
        { "fencing", lease.fencingToken },
        { "renewals", lease.renewals },
        { "duration_ms", lease.durationMs },
    };
}

std::string formatObject(const store::ObjectValue& value)
{
    auto document = std::visit([](const auto& alternative) { return format(alternative); }, value);
    document["type"] = base::nameOf(static_cast<ObjectType>(value.index()));
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

static std::optional<store::BranchEdit> parseRawBranch(const json& value)
{
    JsonReader reader(value);
    store::BranchEdit raw { reader.text("path"), reader.text("json") };
    if (!reader.isGood())
        return std::nullopt;
    return raw;
}

static std::optional<store::AcceptedBranch> parseAcceptedBranch(const json& value)
{
    JsonReader reader(value);
    auto branch = parseBranchObject(reader.object("branch"));
    base::ObjectVersion editVersion { reader.number("raw_version") };
    if (!reader.isGood() || !branch)
        return std::nullopt;
    return store::AcceptedBranch { std::move(*branch), editVersion };
}

static std::optional<store::BranchStatus> parseBranchStatus(const json& value)
{
    JsonReader reader(value);
    store::BranchStatus status { reader.text("path"), { reader.number("raw_version") }, reader.flag("accepted"), reader.text("reason") };
    if (!reader.isGood())
        return std::nullopt;
    return status;
}

static std::optional<store::Lease> parseLease(const json& value)
{
    JsonReader reader(value);
    store::Lease lease { { reader.text("holder") }, reader.number("holder_incarnation"), reader.number("fencing"), reader.number("renewals"), reader.number("duration_ms") };
    if (!reader.isGood())
        return std::nullopt;
    return lease;
}

template<typename Value>
static std::optional<store::ObjectValue> toVariant(std::optional<Value> value)
{
    if (!value)
        return std::nullopt;
    return store::ObjectValue(std::move(*value));
}

static std::optional<store::ObjectValue> parseAs(ObjectType type, const json& document)
{
    switch (type) {
    case ObjectType::ClaimBatch:
        return toVariant(parseClaimBatch(document));
    case ObjectType::Checkpoint:
        return toVariant(parseCheckpoint(document));
    case ObjectType::BranchEdit:
        return toVariant(parseRawBranch(document));
    case ObjectType::AcceptedBranch:
        return toVariant(parseAcceptedBranch(document));
    case ObjectType::BranchStatus:
        return toVariant(parseBranchStatus(document));
    case ObjectType::Lease:
        return toVariant(parseLease(document));
    case ObjectType::Vm:
        return toVariant(parseVmRecord(document));
    case ObjectType::Upstream:
        return toVariant(parseUpstreamRecord(document));
    }
    return std::nullopt;
}

std::optional<store::ObjectValue> parseObject(std::string_view text)
{
    auto document = base::JsonText(text).parse();
    if (!document)
        return std::nullopt;
    JsonReader reader(*document);
    auto type = reader.enumValue<ObjectType>("type");
    if (!reader.isGood())
        return std::nullopt;
    return parseAs(type, *document);
}

} // namespace redwingseam::codec
