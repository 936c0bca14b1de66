#ifndef DOTTERELSHED_LIBCONFIG_NEAREST_NAME_H_
#define DOTTERELSHED_LIBCONFIG_NEAREST_NAME_H_

#include <string>
#include <string_view>
#include <vector>

/// @file
/// Suggestions for misspelt names.

namespace dotterelshed::pvt {

/// The member of @p candidates closest to @p name, or empty if none is near.
auto NearestName(std::string_view name,
                 const std::vector<std::string>& candidates) -> std::string;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCONFIG_NEAREST_NAME_H_
