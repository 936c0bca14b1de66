#ifndef DOTTERELSHED_LIBCONFIG_KEY_DESCRIPTION_H_
#define DOTTERELSHED_LIBCONFIG_KEY_DESCRIPTION_H_

#include <string>
#include <string_view>
#include <vector>

#include "key_schema.h"

/// @file
/// What a key takes, in words for remedies and the reference pages.

namespace dotterelshed::pvt {

/// The members of KeySpec::m_choices.
auto SplitChoices(std::string_view choices) -> std::vector<std::string>;

/// Range of a key: "1 to 64", "at least 0", or empty.
auto DescribeRange(const KeySpec& key) -> std::string;

/// What a value of this key looks like.
auto DescribeType(const KeySpec& key) -> std::string;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCONFIG_KEY_DESCRIPTION_H_
