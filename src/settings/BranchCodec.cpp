#include "redwingseam/settings/BranchCodec.h"

#include "redwingseam/base/Rank.h"
#include "redwingseam/settings/FieldSpec.h"

#include <nlohmann/json.hpp>

namespace redwingseam::settings {

using base::Error;
using base::ResultCode;

static constexpr size_t maxPathLength = 200;

// Returns a number or string as JSON, and the type of any other value, because an array or object can be large.
static std::string describe(const nlohmann::json& value)
{
    return value.is_number() || value.is_string() ? value.dump() : std::string(value.type_name());
}

static Error invalid(std::string_view key, const std::string& expected, const nlohmann::json& found)
{
    return { ResultCode::SettingsInvalid, "/" + std::string(key) + ": expected " + expected + ", found " + describe(found) };
}

static base::Result<int64_t> parseInteger(const FieldSpec& spec, std::string_view key, const nlohmann::json& value)
{
    auto expected = "an integer from " + std::to_string(spec.minimum) + " to " + std::to_string(spec.maximum);
    if (!value.is_number_integer())
        return invalid(key, expected, value);
    if (value.is_number_unsigned() && value.get<uint64_t>() > static_cast<uint64_t>(spec.maximum))
        return invalid(key, expected, value);
    auto number = value.get<int64_t>();
    if (number < spec.minimum || number > spec.maximum)
        return invalid(key, expected, value);
    return number;
}

static base::Result<int64_t> parseValue(const FieldSpec& spec, std::string_view key, const nlohmann::json& value)
{
    if (spec.kind == FieldKind::Integer)
        return parseInteger(spec, key, value);
    if (spec.kind == FieldKind::Boolean) {
        if (!value.is_boolean())
            return invalid(key, "true or false", value);
        return value.get<bool>() ? 1 : 0;
    }
    auto rank = value.is_string() ? base::enumFromName<base::Rank>(value.get_ref<const std::string&>()) : std::nullopt;
    if (!rank)
        return invalid(key, "urgent, standard or deferrable", value);
    return static_cast<int64_t>(*rank);
}

base::Result<Branch> parseBranch(std::string path, base::ObjectVersion version, std::string_view json)
{
    if (!isBranchPath(path))
        return Error { ResultCode::SettingsInvalid, path + ": expected a path of /segments in [a-z0-9_-]" };
    auto document = nlohmann::json::parse(json, nullptr, false);
    if (document.is_discarded())
        return Error { ResultCode::SettingsUnreadable, path + ": the branch is not JSON" };
    if (!document.is_object())
        return Error { ResultCode::SettingsInvalid, "/: expected an object of fields" };
    Branch branch { std::move(path), version, false, {} };
    for (const auto& [key, value] : document.items()) {
        auto field = base::enumFromName<Field>(key);
        if (!field)
            return Error { ResultCode::SettingsInvalid, "/" + key + ": expected a known field" };
        auto parsed = parseValue(fieldSpecs[indexOf(*field)], key, value);
        if (!parsed)
            return parsed.error();
        branch.values[indexOf(*field)] = parsed.value();
    }
    return branch;
}

static nlohmann::json formatValue(const FieldSpec& spec, int64_t value)
{
    if (spec.kind == FieldKind::Boolean)
        return value != 0;
    if (spec.kind == FieldKind::RankName)
        return std::string(base::nameOf(static_cast<base::Rank>(value)));
    return value;
}

std::string formatBranch(const Branch& branch)
{
    auto document = nlohmann::json::object();
    for (const auto& spec : fieldSpecs) {
        if (const auto& value = branch.values[indexOf(spec.field)])
            document[std::string(base::nameOf(spec.field))] = formatValue(spec, *value);
    }
    return document.dump();
}

bool isBranchPath(std::string_view path)
{
    if (path == "/")
        return true;
    if (path.empty() || path.size() > maxPathLength || path.front() != '/' || path.back() == '/')
        return false;
    char previous = 0;
    for (char c : path) {
        bool isSegmentCharacter = (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_' || c == '-';
        if (c == '/' && previous == '/')
            return false;
        if (c != '/' && !isSegmentCharacter)
            return false;
        previous = c;
    }
    return true;
}

} // namespace redwingseam::settings
