#ifndef DOTTERELSHED_KEY_REFERENCE_H_
#define DOTTERELSHED_KEY_REFERENCE_H_

#include <string>

/// @file
/// Reference pages made from the tables that texts and settings are checked
/// with.

namespace dotterelshed {

/// docs/operators/text-reference.md.
auto FormatTextReference() -> std::string;

/// docs/operators/settings-reference.md.
auto FormatSettingsReference() -> std::string;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_KEY_REFERENCE_H_
