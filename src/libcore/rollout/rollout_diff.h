#ifndef DOTTERELSHED_LIBCORE_ROLLOUT_ROLLOUT_DIFF_H_
#define DOTTERELSHED_LIBCORE_ROLLOUT_ROLLOUT_DIFF_H_

#include <string>
#include <string_view>

#include "dotterelshed/error.h"
#include "dotterelshed/ids.h"

/// @file
/// Differences between two configuration texts, encoded as ranges to copy from
/// the base and pieces to insert.

namespace dotterelshed::pvt {

/// Returns the difference from @p base to @p text. It is at most a few bytes
/// longer than @p text.
auto MakeDifference(std::string_view base, std::string_view text)
    -> std::string;

/// Rebuilds the text that @p difference was made for. Fails with
/// kInvalidArgument when the difference is malformed or exceeds @p base.
auto ApplyDifference(std::string_view base, std::string_view difference)
    -> Result<std::string>;

/// XXH3 128-bit hash of @p text in hexadecimal.
auto DigestOf(std::string_view text) -> Digest;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_ROLLOUT_ROLLOUT_DIFF_H_
