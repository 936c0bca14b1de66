#ifndef DOTTERELSHED_PEER_MESSAGES_H_
#define DOTTERELSHED_PEER_MESSAGES_H_

#include <variant>

#include "dotterelshed/membership_messages.h"
#include "dotterelshed/turn_messages.h"

/// @file
/// Every one-way message that hosts exchange.

namespace dotterelshed {

using PeerMessage = std::variant<ReserveRequest,
                                 ReserveReply,
                                 AppendRequest,
                                 AppendReply,
                                 StateCopy,
                                 StateCopyReply,
                                 CollectRequest,
                                 CollectReply,
                                 Heartbeat,
                                 DomainDigest,
                                 ConfigRequest,
                                 ConfigOffer>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_PEER_MESSAGES_H_
