#ifndef DOTTERELSHED_LIBCONFIG_KEY_SCHEMA_H_
#define DOTTERELSHED_LIBCONFIG_KEY_SCHEMA_H_

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelshed/config_text.h"
#include "text_tree.h"

/// @file
/// Tables of known keys. One table drives the check of a text and its
/// reference page, so the two can't differ.

namespace dotterelshed::pvt {

enum class ValueType {
  kMap,
  kList,      ///< Of maps; their keys follow as "path[].key".
  kNameList,  ///< Of names.
  kAddressList,
  kName,
  kText,
  kBoolean,
  kCount,     ///< Whole number.
  kDuration,  ///< "60s"; range in microseconds.
  kBytes,     ///< "4MiB"; range in bytes.
  kPercent,   ///< "25%".
  kMoney,     ///< "12.50 DKK".
  kAddress,   ///< "10.1.0.11:8000".
  kChoice,    ///< One of m_choices, written "a|b".
  kSha256,    ///< 64 hex digits.
};

/// One known key.
struct KeySpec {
  /// "services[].timeout".
  std::string_view m_path;
  ValueType m_type;
  bool m_required = false;
  /// As the text would write it; empty when there is none.
  std::string_view m_default;
  std::int64_t m_min = 0;
  std::int64_t m_max = std::numeric_limits<std::int64_t>::max();
  std::string_view m_choices;
  std::string_view m_meaning;
};

using KeyTable = std::span<const KeySpec>;

/// All keys of the operators' text, parents before children.
auto DeskKeys() -> KeyTable;
/// All keys of a process's settings.
auto SettingsKeys() -> KeyTable;

/// What a value is compared with besides the table.
struct CheckContext {
  KeyTable m_keys;
  std::string m_currency;
};

/// Checks every key and value of @p root against the table and returns all
/// mistakes: unknown or missing keys, wrong types and units, out of range.
auto CheckKeys(const TextNode& root, const CheckContext& context)
    -> std::vector<ConfigProblem>;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCONFIG_KEY_SCHEMA_H_
