#include "key_schema.h"

#include <algorithm>

#include "key_description.h"
#include "nearest_name.h"
#include "text_values.h"

namespace dotterelshed::pvt {

namespace {

constexpr std::size_t kSha256HexLength = 64;

/// Where a value stands: its place in the text and its pattern in the table.
struct ValuePlace {
  std::string m_path;
  std::string m_pattern;
  int m_line = 1;
};

auto IsSha256(std::string_view text) -> bool {
  const auto is_hex = [](char letter) {
    return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f');
  };
  return text.size() == kSha256HexLength &&
         std::all_of(text.begin(), text.end(), is_hex);
}

/// Walks the tree beside the table.
class KeyChecker {
 public:
  explicit KeyChecker(const CheckContext& context) : m_context(context) {}

  auto Run(const TextNode& root) -> std::vector<ConfigProblem> {
    CheckMap(root, {.m_path = "", .m_pattern = "", .m_line = root.m_line});
    return std::move(m_problems);
  }

 private:
  auto Report(const ValuePlace& place, std::string message, std::string remedy)
      -> void {
    m_problems.push_back({.m_line = place.m_line,
                          .m_path = place.m_path,
                          .m_message = std::move(message),
                          .m_remedy = std::move(remedy)});
  }

  auto FindKey(std::string_view pattern) const -> const KeySpec* {
    const auto found = std::find_if(
        m_context.m_keys.begin(), m_context.m_keys.end(),
        [pattern](const KeySpec& key) { return key.m_path == pattern; });
    return found == m_context.m_keys.end() ? nullptr : &*found;
  }

  /// Last components of the keys directly below @p pattern.
  auto ChildKeys(const std::string& pattern) const
      -> std::vector<const KeySpec*> {
    std::vector<const KeySpec*> result;
    const auto prefix = pattern.empty() ? "" : pattern + ".";
    for (const auto& key : m_context.m_keys) {
      const auto below =
          key.m_path.starts_with(prefix) &&
          key.m_path.find('.', prefix.size()) == std::string_view::npos;
      if (below) {
        result.push_back(&key);
      }
    }
    return result;
  }

  static auto LastComponent(const KeySpec& key) -> std::string {
    const auto dot = key.m_path.rfind('.');
    return std::string(dot == std::string_view::npos
                           ? key.m_path
                           : key.m_path.substr(dot + 1));
  }

  auto CheckMap(const TextNode& node, const ValuePlace& place) -> void {
    if (node.m_kind != NodeKind::kMap) {
      ReportType(node, place, "a map");
      return;
    }
    const auto known = ChildKeys(place.m_pattern);
    for (const auto& member : node.m_members) {
      CheckMember(member, place, known);
    }
    for (const auto* key : known) {
      if (key->m_required && node.Find(LastComponent(*key)) == nullptr) {
        Report({.m_path = MemberPath(place.m_path, LastComponent(*key)),
                .m_line = node.m_line},
               "the key is missing",
               "add \"" + LastComponent(*key) + "\": " + DescribeType(*key));
      }
    }
  }

  auto CheckMember(const TextMember& member,
                   const ValuePlace& parent,
                   const std::vector<const KeySpec*>& known) -> void {
    const ValuePlace place{
        .m_path = MemberPath(parent.m_path, member.m_key),
        .m_pattern = MemberPath(parent.m_pattern, member.m_key),
        .m_line = member.m_line};
    const auto* key = FindKey(place.m_pattern);
    if (key == nullptr) {
      ReportUnknown(member, place, known);
      return;
    }
    CheckValue(member.m_value, *key, place);
  }

  auto ReportUnknown(const TextMember& member,
                     const ValuePlace& place,
                     const std::vector<const KeySpec*>& known) -> void {
    std::vector<std::string> names;
    std::string all;
    for (const auto* key : known) {
      names.push_back(LastComponent(*key));
      all += (all.empty() ? "" : ", ") + names.back();
    }
    const auto nearest = NearestName(member.m_key, names);
    Report(place, "unknown key '" + member.m_key + "'",
           nearest.empty() ? "known keys here: " + all
                           : "did you mean '" + nearest + "'?");
  }

  auto ReportType(const TextNode& node,
                  const ValuePlace& place,
                  const std::string& expected) -> void {
    Report(place, "is " + std::string(ToString(node.m_kind)),
           "write " + expected);
  }

  auto CheckValue(const TextNode& node,
                  const KeySpec& key,
                  const ValuePlace& place) -> void {
    switch (key.m_type) {
      case ValueType::kMap:
        CheckMap(node, place);
        return;
      case ValueType::kList:
      case ValueType::kNameList:
      case ValueType::kAddressList:
        CheckList(node, key, place);
        return;
      case ValueType::kBoolean:
        if (node.m_kind != NodeKind::kBoolean) {
          ReportType(node, place, DescribeType(key));
        }
        return;
      case ValueType::kCount:
        CheckCount(node, key, place);
        return;
      default:
        CheckText(node, key, place);
    }
  }

  auto CheckList(const TextNode& node,
                 const KeySpec& key,
                 const ValuePlace& place) -> void {
    if (node.m_kind != NodeKind::kList) {
      ReportType(node, place, DescribeType(key));
      return;
    }
    const KeySpec name{.m_path = key.m_path, .m_type = ValueType::kName};
    const KeySpec address{.m_path = key.m_path, .m_type = ValueType::kAddress};
    for (auto i = std::size_t{0}; i < node.m_items.size(); ++i) {
      const auto& item = node.m_items[i];
      const ValuePlace item_place{.m_path = ItemPath(place.m_path, i),
                                  .m_pattern = place.m_pattern + "[]",
                                  .m_line = item.m_line};
      if (key.m_type == ValueType::kList) {
        CheckMap(item, item_place);
      } else {
        CheckText(item, key.m_type == ValueType::kNameList ? name : address,
                  item_place);
      }
    }
  }

  auto CheckCount(const TextNode& node,
                  const KeySpec& key,
                  const ValuePlace& place) -> void {
    if (node.m_kind != NodeKind::kInteger) {
      ReportType(node, place, DescribeType(key));
      return;
    }
    CheckRange(node.m_integer, key, place);
  }

  auto CheckRange(std::int64_t value,
                  const KeySpec& key,
                  const ValuePlace& place) -> void {
    if (value < key.m_min || value > key.m_max) {
      Report(place, "is out of range", "write " + DescribeRange(key));
    }
  }

  template <typename T>
  auto CheckParsed(const Parsed<T>& parsed, const ValuePlace& place) -> bool {
    if (!parsed) {
      Report(place, parsed.error().m_message, parsed.error().m_remedy);
    }
    return parsed.has_value();
  }

  auto CheckText(const TextNode& node,
                 const KeySpec& key,
                 const ValuePlace& place) -> void {
    if (node.m_kind != NodeKind::kText) {
      ReportType(node, place, DescribeType(key));
      return;
    }
    CheckTextValue(node.m_text, key, place);
  }

  auto CheckTextValue(const std::string& text,
                      const KeySpec& key,
                      const ValuePlace& place) -> void {
    switch (key.m_type) {
      case ValueType::kName:
        if (!IsName(text)) {
          Report(place, "'" + text + "' is no name",
                 "use up to 64 letters, digits, '.', '-' and '_'");
        }
        return;
      case ValueType::kDuration:
        if (const auto value = ParseDuration(text); CheckParsed(value, place)) {
          CheckRange(value->count(), key, place);
        }
        return;
      case ValueType::kBytes:
        if (const auto value = ParseBytes(text); CheckParsed(value, place)) {
          CheckRange(value->value(), key, place);
        }
        return;
      case ValueType::kPercent:
        if (const auto value = ParsePercent(text); CheckParsed(value, place)) {
          CheckRange(*value, key, place);
        }
        return;
      case ValueType::kMoney:
        CheckParsed(ParseMoney(text, m_context.m_currency), place);
        return;
      case ValueType::kAddress:
        CheckParsed(ParseAddress(text), place);
        return;
      case ValueType::kChoice:
        CheckChoice(text, key, place);
        return;
      case ValueType::kSha256:
        if (!text.empty() && !IsSha256(text)) {
          Report(place, "is no SHA-256 in hex",
                 "write 64 lower-case hex digits");
        }
        return;
      default:
        if (key.m_required && text.empty()) {
          Report(place, "is empty", "write " + DescribeType(key));
        }
    }
  }

  auto CheckChoice(const std::string& text,
                   const KeySpec& key,
                   const ValuePlace& place) -> void {
    const auto choices = SplitChoices(key.m_choices);
    if (std::find(choices.begin(), choices.end(), text) == choices.end()) {
      Report(place, "unknown value '" + text + "'",
             "write " + DescribeType(key));
    }
  }

  const CheckContext& m_context;
  std::vector<ConfigProblem> m_problems;
};

}  // namespace

auto CheckKeys(const TextNode& root, const CheckContext& context)
    -> std::vector<ConfigProblem> {
  return KeyChecker(context).Run(root);
}

}  // namespace dotterelshed::pvt
