#include "dotterelshed/peer_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include "membership_codec.h"
#include "peer.capnp.h"
#include "turn_codec.h"

namespace dotterelshed {

namespace {

/// Histories of many turns are copied whole, so messages may be large.
constexpr std::uint64_t kMaxMessageWords = 64ULL * 1024 * 1024;

/// Fills the union member that belongs to a message's type.
struct MessageWriter {
  wire::PeerMessage::Builder m_out;

  auto operator()(const ReserveRequest& message) -> void {
    WriteMessage(message, m_out.initReserveRequest());
  }
  auto operator()(const ReserveReply& message) -> void {
    WriteMessage(message, m_out.initReserveReply());
  }
  auto operator()(const AppendRequest& message) -> void {
    WriteMessage(message, m_out.initAppendRequest());
  }
  auto operator()(const AppendReply& message) -> void {
    WriteMessage(message, m_out.initAppendReply());
  }
  auto operator()(const StateCopy& message) -> void {
    WriteMessage(message, m_out.initStateCopy());
  }
  auto operator()(const StateCopyReply& message) -> void {
    WriteMessage(message, m_out.initStateCopyReply());
  }
  auto operator()(const CollectRequest& message) -> void {
    WriteMessage(message, m_out.initCollectRequest());
  }
  auto operator()(const CollectReply& message) -> void {
    WriteMessage(message, m_out.initCollectReply());
  }
  auto operator()(const Heartbeat& message) -> void {
    Encode(message, m_out.initHeartbeat());
  }
  auto operator()(const DomainDigest& message) -> void {
    Encode(message, m_out.initDomainDigest());
  }
  auto operator()(const ConfigRequest& message) -> void {
    Encode(message, m_out.initConfigRequest());
  }
  auto operator()(const ConfigOffer& message) -> void {
    Encode(message, m_out.initConfigOffer());
  }
};

auto ReadUnion(wire::PeerMessage::Reader in) -> Result<PeerMessage> {
  using Which = wire::PeerMessage::Which;
  switch (in.which()) {
    case Which::RESERVE_REQUEST:
      return ReadMessage(in.getReserveRequest());
    case Which::RESERVE_REPLY:
      return ReadReserveReply(in.getReserveReply());
    case Which::APPEND_REQUEST:
      return ReadMessage(in.getAppendRequest());
    case Which::APPEND_REPLY:
      return ReadAppendReply(in.getAppendReply());
    case Which::STATE_COPY:
      return ReadMessage(in.getStateCopy());
    case Which::STATE_COPY_REPLY:
      return ReadMessage(in.getStateCopyReply());
    case Which::COLLECT_REQUEST:
      return ReadMessage(in.getCollectRequest());
    case Which::COLLECT_REPLY:
      return ReadMessage(in.getCollectReply());
    case Which::HEARTBEAT:
      return Decode(in.getHeartbeat());
    case Which::DOMAIN_DIGEST:
      return Decode(in.getDomainDigest());
    case Which::CONFIG_REQUEST:
      return Decode(in.getConfigRequest());
    case Which::CONFIG_OFFER:
      return Decode(in.getConfigOffer());
  }
  return Fail(ErrorCode::kInvalidArgument, "unknown kind of peer message");
}

}  // namespace

auto EncodePeerMessage(const PeerMessage& message) -> std::string {
  capnp::MallocMessageBuilder builder;
  std::visit(MessageWriter{builder.initRoot<wire::PeerMessage>()}, message);
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, builder);
  const auto bytes = out.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

auto DecodePeerMessage(std::string_view bytes) -> Result<PeerMessage> {
  try {
    kj::ArrayInputStream in(
        {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()});
    capnp::PackedMessageReader reader(
        in, {.traversalLimitInWords = kMaxMessageWords});
    return ReadUnion(reader.getRoot<wire::PeerMessage>());
  } catch (const kj::Exception& exception) {
    return Fail(ErrorCode::kInvalidArgument, exception.getDescription().cStr());
  }
}

}  // namespace dotterelshed
