#ifndef DOTTERELSHED_LIBCONFIG_DESK_COMPILER_H_
#define DOTTERELSHED_LIBCONFIG_DESK_COMPILER_H_

#include <string>
#include <vector>

#include "dotterelshed/config_text.h"
#include "dotterelshed/desk_config.h"
#include "text_tree.h"

/// @file
/// The two steps after the keys of a text were checked.

namespace dotterelshed::pvt {

/// Currency when the text names none.
inline constexpr auto kDefaultCurrency = "EUR";

/// Builds the configuration from a tree; malformed values become defaults.
auto CompileDesk(const TextNode& root) -> DeskConfig;

/// Mistakes between the parts of a text: duplicate names, unknown references,
/// dependency cycles, services without endpoints.
auto CheckReferences(const TextNode& root) -> std::vector<ConfigProblem>;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCONFIG_DESK_COMPILER_H_
