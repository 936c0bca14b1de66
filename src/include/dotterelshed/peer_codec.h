#ifndef DOTTERELSHED_PEER_CODEC_H_
#define DOTTERELSHED_PEER_CODEC_H_

#include <string>
#include <string_view>

#include "dotterelshed/error.h"
#include "dotterelshed/peer_messages.h"

/// @file
/// One-way messages as bytes, for PeerNode::SendMessage.

namespace dotterelshed {

auto EncodePeerMessage(const PeerMessage& message) -> std::string;

/// Errors: kInvalidArgument when the bytes are no message that this version
/// knows.
auto DecodePeerMessage(std::string_view bytes) -> Result<PeerMessage>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_PEER_CODEC_H_
