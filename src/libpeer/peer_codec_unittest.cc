#include "dotterelshed/peer_codec.h"

#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

TEST_CASE("a message comes back as the kind that it was") {
  const PeerMessage sent =
      Heartbeat{.m_from = {HostId("h"), Incarnation(2)}, .m_headroom = 3};
  const auto read = DecodePeerMessage(EncodePeerMessage(sent));
  REQUIRE(read);
  REQUIRE(std::holds_alternative<Heartbeat>(*read));
  CHECK(std::get<Heartbeat>(*read).m_headroom == 3);
}

TEST_CASE("every kind of message survives the round trip as its own kind") {
  const std::vector<PeerMessage> all{
      ReserveRequest{}, ReserveReply{},   AppendRequest{},  AppendReply{},
      StateCopy{},      StateCopyReply{}, CollectRequest{}, CollectReply{},
      Heartbeat{},      DomainDigest{},   ConfigRequest{},  ConfigOffer{}};
  REQUIRE(all.size() == std::variant_size_v<PeerMessage>);
  for (const auto& message : all) {
    const auto read = DecodePeerMessage(EncodePeerMessage(message));
    REQUIRE(read);
    CHECK(read->index() == message.index());
  }
}

TEST_CASE("bytes that are no message are an error") {
  CHECK_FALSE(DecodePeerMessage("not a message"));
  CHECK_FALSE(DecodePeerMessage(""));
}

}  // namespace
}  // namespace dotterelshed
