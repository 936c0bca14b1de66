#include "key_description.h"

#include <algorithm>

#include "text_values.h"

namespace dotterelshed::pvt {

namespace {

constexpr auto kNoUpperBound = std::numeric_limits<std::int64_t>::max();

auto FormatBound(const KeySpec& key, std::int64_t bound) -> std::string {
  switch (key.m_type) {
    case ValueType::kDuration:
      return FormatDuration(Duration(bound));
    case ValueType::kBytes:
      return FormatBytes(Bytes(bound));
    case ValueType::kPercent:
      return std::to_string(bound) + "%";
    default:
      return std::to_string(bound);
  }
}

}  // namespace

auto SplitChoices(std::string_view choices) -> std::vector<std::string> {
  std::vector<std::string> result;
  while (!choices.empty()) {
    const auto bar = std::min(choices.find('|'), choices.size());
    result.emplace_back(choices.substr(0, bar));
    choices.remove_prefix(std::min(bar + 1, choices.size()));
  }
  return result;
}

auto DescribeRange(const KeySpec& key) -> std::string {
  const auto ranged =
      key.m_type == ValueType::kCount || key.m_type == ValueType::kDuration ||
      key.m_type == ValueType::kBytes || key.m_type == ValueType::kPercent;
  if (!ranged) {
    return "";
  }
  const auto low = FormatBound(key, key.m_min);
  if (key.m_max == kNoUpperBound) {
    return "at least " + low;
  }
  return low + " to " + FormatBound(key, key.m_max);
}

auto DescribeType(const KeySpec& key) -> std::string {
  switch (key.m_type) {
    case ValueType::kMap:
      return "a map";
    case ValueType::kList:
      return "a list of maps";
    case ValueType::kNameList:
      return "a list of names";
    case ValueType::kAddressList:
      return "a list of addresses like \"10.1.0.11:8000\"";
    case ValueType::kName:
      return "a name";
    case ValueType::kText:
      return "a string";
    case ValueType::kBoolean:
      return "true or false";
    case ValueType::kCount:
      return "a whole number";
    case ValueType::kDuration:
      return "a duration like \"500ms\", \"60s\" or \"10m\"";
    case ValueType::kBytes:
      return "a size like \"64KiB\" or \"4MiB\"";
    case ValueType::kPercent:
      return "a percentage like \"25%\"";
    case ValueType::kMoney:
      return "an amount with the currency, like \"12.50 DKK\"";
    case ValueType::kAddress:
      return "an address like \"10.1.0.11:8000\"";
    case ValueType::kSha256:
      return "a SHA-256 in hex";
    case ValueType::kChoice:
      break;
  }
  std::string text;
  for (const auto& choice : SplitChoices(key.m_choices)) {
    text += (text.empty() ? "\"" : " or \"") + choice + "\"";
  }
  return text;
}

}  // namespace dotterelshed::pvt
