#ifndef DOTTERELSHED_LIBPEER_TURN_CODEC_H_
#define DOTTERELSHED_LIBPEER_TURN_CODEC_H_

#include "dotterelshed/turn_messages.h"
#include "turn.capnp.h"

/// @file
/// Conversion between the messages of the turn protocol and Cap'n Proto.

namespace dotterelshed {

auto WriteMessage(const ReserveRequest& message,
                  turn_rpc::ReserveRequest::Builder out) -> void;
auto WriteMessage(const ReserveReply& message,
                  turn_rpc::ChangeReply::Builder out) -> void;
auto WriteMessage(const AppendRequest& message,
                  turn_rpc::AppendRequest::Builder out) -> void;
auto WriteMessage(const AppendReply& message,
                  turn_rpc::ChangeReply::Builder out) -> void;
auto WriteMessage(const StateCopy& message, turn_rpc::StateCopy::Builder out)
    -> void;
auto WriteMessage(const StateCopyReply& message,
                  turn_rpc::StateCopyReply::Builder out) -> void;
auto WriteMessage(const CollectRequest& message,
                  turn_rpc::CollectRequest::Builder out) -> void;
auto WriteMessage(const CollectReply& message,
                  turn_rpc::CollectReply::Builder out) -> void;

auto ReadMessage(turn_rpc::ReserveRequest::Reader in) -> ReserveRequest;
/// Replies to a reservation and to an append look alike; the union that holds
/// them tells which one it is.
auto ReadReserveReply(turn_rpc::ChangeReply::Reader in) -> ReserveReply;
auto ReadMessage(turn_rpc::AppendRequest::Reader in) -> AppendRequest;
auto ReadAppendReply(turn_rpc::ChangeReply::Reader in) -> AppendReply;
auto ReadMessage(turn_rpc::StateCopy::Reader in) -> StateCopy;
auto ReadMessage(turn_rpc::StateCopyReply::Reader in) -> StateCopyReply;
auto ReadMessage(turn_rpc::CollectRequest::Reader in) -> CollectRequest;
auto ReadMessage(turn_rpc::CollectReply::Reader in) -> CollectReply;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LIBPEER_TURN_CODEC_H_
