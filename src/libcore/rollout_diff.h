#ifndef DOTTERELSHED_LIBCORE_ROLLOUT_DIFF_H_
#define DOTTERELSHED_LIBCORE_ROLLOUT_DIFF_H_

#include <string>
#include <string_view>

#include "dotterelshed/error.h"
#include "dotterelshed/ids.h"

/// @file
/// Differences between two configuration texts, as runs of lines to copy from
/// the base and pieces to insert.

namespace dotterelshed::pvt {

/// What turns @p base into @p text; not longer than @p text by more than a few
/// bytes.
auto MakeDifference(std::string_view base, std::string_view text)
    -> std::string;

/// Undoes MakeDifference. Fails with kInvalidArgument on a difference that
/// does not fit @p base.
auto ApplyDifference(std::string_view base, std::string_view difference)
    -> Result<std::string>;

/// Hex digest that tells texts apart.
auto DigestOf(std::string_view text) -> Digest;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_ROLLOUT_DIFF_H_
