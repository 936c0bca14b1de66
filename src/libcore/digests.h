#ifndef DOTTERELSHED_LIBCORE_DIGESTS_H_
#define DOTTERELSHED_LIBCORE_DIGESTS_H_

#include <string>
#include <string_view>

#include "dotterelshed/ids.h"
#include "dotterelshed/turn_messages.h"

/// @file
/// Digests and signatures, as lower-case hex.

namespace dotterelshed::pvt {

/// Bytes as lower-case hex.
auto ToHex(std::string_view bytes) -> std::string;

auto Sha256Hex(std::string_view data) -> std::string;

auto HmacSha256Hex(std::string_view key, std::string_view data) -> std::string;

/// Hash-chain digest of a turn: covers the turn's fields and @p previous, the
/// digest of the turn before it.
auto ChainDigest(const ProgramId& program,
                 const Digest& previous,
                 const TurnRecord& record) -> Digest;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_DIGESTS_H_
