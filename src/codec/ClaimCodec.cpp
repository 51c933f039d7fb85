#include "codec/ClaimCodec.h"

#include "codec/JsonReader.h"

namespace redwingseam::codec {

using nlohmann::json;

json format(const claim::ClaimRecord& record)
{
    json result { { "kind", base::nameOf(record.kind) }, { "key", record.key.text }, { "holder", record.holder } };
    if (record.kind == claim::RecordKind::Finished) {
        result["status"] = record.response.status;
        result["body"] = record.response.body;
    }
    return result;
}

static json formatRecords(const std::vector<claim::ClaimRecord>& records)
{
    auto result = json::array();
    for (const auto& record : records)
        result.push_back(format(record));
    return result;
}

json format(const claim::ClaimBatch& batch)
{
    return { { "records", formatRecords(batch.records) } };
}

json format(const claim::Checkpoint& checkpoint)
{
    return { { "next", checkpoint.nextNumber }, { "records", formatRecords(checkpoint.records) } };
}

std::optional<claim::ClaimRecord> parseClaimRecord(const json& value)
{
    JsonReader reader(value);
    claim::ClaimRecord record;
    record.kind = reader.enumValue<claim::RecordKind>("kind");
    record.key.text = reader.text("key");
    record.holder = reader.number("holder");
    if (record.kind == claim::RecordKind::Finished) {
        record.response.status = static_cast<uint16_t>(reader.number("status"));
        record.response.body = reader.text("body");
    }
    if (!reader.isGood())
        return std::nullopt;
    return record;
}

static std::optional<std::vector<claim::ClaimRecord>> parseRecords(const json& array)
{
    std::vector<claim::ClaimRecord> records;
    for (const auto& item : array) {
        auto record = parseClaimRecord(item);
        if (!record)
            return std::nullopt;
        records.push_back(std::move(*record));
    }
    return records;
}

std::optional<claim::ClaimBatch> parseClaimBatch(const json& value)
{
    JsonReader reader(value);
    auto records = parseRecords(reader.array("records"));
    if (!reader.isGood() || !records)
        return std::nullopt;
    return claim::ClaimBatch { std::move(*records) };
}

std::optional<claim::Checkpoint> parseCheckpoint(const json& value)
{
    JsonReader reader(value);
    auto next = reader.number("next");
    auto records = parseRecords(reader.array("records"));
    if (!reader.isGood() || !records)
        return std::nullopt;
    return claim::Checkpoint { next, std::move(*records) };
}

} // namespace redwingseam::codec
