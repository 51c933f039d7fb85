#include "http/RequestParser.h"

#include "codec/JsonReader.h"

namespace redwingseam::http {

using base::Error;
using base::ResultCode;

// Must equal the maximum of the setting `max_tokens` in FieldSpec.cpp.
static constexpr uint64_t maxTokensLimit = 200'000;
static constexpr size_t maxNestingDepth = 16;

// Checks the nesting depth before parsing, so that a malicious body cannot overflow the stack.
static bool exceedsNestingDepth(std::string_view json)
{
    size_t depth = 0;
    bool isInString = false;
    for (size_t i = 0; i < json.size(); ++i) {
        char c = json[i];
        if (isInString && c == '\\')
            ++i;
        else if (c == '"')
            isInString = !isInString;
        else if (!isInString && (c == '{' || c == '['))
            ++depth;
        else if (!isInString && (c == '}' || c == ']') && depth)
            --depth;
        if (depth > maxNestingDepth)
            return true;
    }
    return false;
}

static bool parseReceivedTokens(codec::JsonReader& reader, std::vector<uint32_t>& ids)
{
    for (const auto& item : reader.array("received")) {
        if (!item.is_number_unsigned() || item.get<uint64_t>() > UINT32_MAX || ids.size() == maxTokensLimit)
            return false;
        ids.push_back(item.get<uint32_t>());
    }
    return true;
}

base::Result<ParsedCompletion> parseCompletion(std::string_view json)
{
    if (exceedsNestingDepth(json))
        return Error { ResultCode::MalformedRequest, "/: nested deeper than " + std::to_string(maxNestingDepth) + " levels" };
    auto document = nlohmann::json::parse(json, nullptr, false);
    if (document.is_discarded())
        return Error { ResultCode::MalformedRequest, "/: expected JSON" };
    codec::JsonReader reader(document);
    ParsedCompletion parsed;
    auto& request = parsed.request;
    request.target = reader.text("model");
    request.content = reader.text("prompt");
    auto maxTokens = reader.number("max_tokens");
    // Zero is reported with the same code as a value above the limit.
    if (reader.isGood() && (!maxTokens || maxTokens > maxTokensLimit))
        return Error { ResultCode::RequestTooLarge, "/max_tokens: expected 1 to " + std::to_string(maxTokensLimit) + ", found " + std::to_string(maxTokens) };
    request.maxTokens = static_cast<uint32_t>(maxTokens);
    if (reader.has("seed"))
        request.seed = reader.number("seed");
    if (reader.has("stream"))
        parsed.isStreamed = reader.flag("stream");
    if (reader.has("work"))
        request.work.text = reader.text("work");
    if (reader.has("rank"))
        request.requestedRank = reader.enumValue<base::Rank>("rank");
    if (reader.has("received") && !parseReceivedTokens(reader, request.resumeTokenIds))
        reader.fail("received", "an array of at most 200000 token ids");
    if (!reader.isGood())
        return Error { ResultCode::MalformedRequest, reader.failure() };
    return parsed;
}

} // namespace redwingseam::http
