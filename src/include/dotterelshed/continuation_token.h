#ifndef DOTTERELSHED_CONTINUATION_TOKEN_H_
#define DOTTERELSHED_CONTINUATION_TOKEN_H_

#include <string>
#include <string_view>

#include "dotterelshed/call.h"
#include "dotterelshed/error.h"

/// @file
/// Text form of a continuation token, as callers get it and send it back.

namespace dotterelshed {

/// Encodes @p token and signs it with HMAC-SHA256 under @p key. The text has
/// only characters that are safe in an HTTP header.
auto SignToken(const ContinuationToken& token, std::string_view key)
    -> std::string;

/// Checks the signature of @p text and decodes it. Errors: kForbidden when the
/// signature does not fit; kInvalidArgument when it is no token.
auto CheckToken(std::string_view text, std::string_view key)
    -> Result<ContinuationToken>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CONTINUATION_TOKEN_H_
