#ifndef DOTTERELSHED_CONTINUATION_TOKEN_H_
#define DOTTERELSHED_CONTINUATION_TOKEN_H_

#include <string>
#include <string_view>

#include "dotterelshed/call.h"
#include "dotterelshed/error.h"

/// @file
/// Text form of continuation tokens, which callers receive with each answer and
/// send back with the next call.

namespace dotterelshed {

/// Encodes @p token and signs it with HMAC-SHA256 under @p key. The text
/// contains only characters that are safe in an HTTP header.
auto SignToken(const ContinuationToken& token, std::string_view key)
    -> std::string;

/// Verifies the signature of @p text and decodes it. Errors: kForbidden if the
/// signature is wrong; kInvalidArgument if the text is not a token.
auto CheckToken(std::string_view text, std::string_view key)
    -> Result<ContinuationToken>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CONTINUATION_TOKEN_H_
