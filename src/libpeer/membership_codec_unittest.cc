#include "membership_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

/// Wire words of @p value; equal words mean that no field was lost.
template <typename Schema, typename Value>
auto ToWords(const Value& value) -> kj::Array<capnp::word> {
  capnp::MallocMessageBuilder message;
  Encode(value, message.initRoot<Schema>());
  return capnp::messageToFlatArray(message);
}

template <typename Schema, typename Value>
auto RoundTrip(const Value& value) -> Value {
  const auto words = ToWords<Schema>(value);
  capnp::FlatArrayMessageReader reader(words);
  return Decode(reader.getRoot<Schema>());
}

template <typename Schema, typename Value>
auto SameWire(const Value& left, const Value& right) -> bool {
  return ToWords<Schema>(left).asBytes() == ToWords<Schema>(right).asBytes();
}

auto Ref(const std::string& host, int start) -> HostRef {
  return {.m_host = HostId(host), .m_incarnation = Incarnation(start)};
}

auto SomeTable() -> DomainTable {
  DomainTable table{.m_domain = DomainId("north"),
                    .m_version = ResourceVersion(7),
                    .m_lead_term = Term(3),
                    .m_lead = Ref("h1", 2),
                    .m_generation = Generation(5),
                    .m_highest_term = Term(12)};
  table.m_pools[PoolId("p")] = {.m_pool = PoolId("p"),

                                .m_term = Term(9),
                                .m_primary_since = Term(2),
                                .m_primary = Ref("h1", 2),
                                .m_holder = Ref("h2", 4)};
  table.m_members[HostId("h2")] = {
      .m_incarnation = Incarnation(4),
      .m_addresses = {.m_peer = "127.0.0.1:1", .m_http = "127.0.0.1:2"}};
  return table;
}

TEST_CASE("a heartbeat survives the wire") {
  const Heartbeat sent{.m_from = Ref("h1", 2),
                       .m_domain = DomainId("north"),
                       .m_addresses = {.m_peer = "a", .m_http = "b"},
                       .m_table_version = ResourceVersion(5),
                       .m_generation = Generation(6),
                       .m_has_disk = true,
                       .m_draining = true,
                       .m_quarantined = {Digest("x")},
                       .m_headroom = 7,
                       .m_updates_seen = 8,
                       .m_unconfirmed = {PoolId("p")},
                       .m_pinned = {PoolId("q"), PoolId("r")}};
  const auto got = RoundTrip<schema::Heartbeat>(sent);
  CHECK(got.m_from == sent.m_from);
  CHECK(got.m_addresses.m_http == "b");
  CHECK(got.m_headroom == 7);
  CHECK(got.m_pinned == sent.m_pinned);
  CHECK(SameWire<schema::Heartbeat>(got, sent));
}

TEST_CASE("a digest with a table survives the wire, and so does one without") {
  DomainDigest sent{.m_from = Ref("h1", 2),
                    .m_table = SomeTable(),
                    .m_table_base = ResourceVersion(6),
                    .m_removed_pools = {PoolId("z")},
                    .m_removed_members = {HostId("h9")},
                    .m_table_version = ResourceVersion(7),
                    .m_generation = Generation(4),
                    .m_update_number = 11,
                    .m_all_members = true,
                    .m_members = {{.m_host = Ref("h2", 4),
                                   .m_alive = false,
                                   .m_draining = true,
                                   .m_has_disk = true,
                                   .m_generation = Generation(4),
                                   .m_headroom = 3}},
                    .m_remote_tables = {SomeTable()},
                    .m_quarantined = {Digest("x")},
                    .m_unconfirmed = {PoolId("p")},
                    .m_lead_heard = false,
                    .m_platform_reachable = false};
  const auto got = RoundTrip<schema::DomainDigest>(sent);
  REQUIRE(got.m_table);
  CHECK(got.m_table->m_pools.at(PoolId("p")).m_holder == Ref("h2", 4));
  CHECK(got.m_table->m_pools.at(PoolId("p")).m_primary_since == Term(2));
  CHECK(got.m_table->m_members.at(HostId("h2")).m_addresses.m_peer ==
        "127.0.0.1:1");
  CHECK(got.m_table_base == sent.m_table_base);
  CHECK_FALSE(got.m_platform_reachable);
  CHECK(SameWire<schema::DomainDigest>(got, sent));
  sent.m_table.reset();
  sent.m_table_base.reset();
  const auto bare = RoundTrip<schema::DomainDigest>(sent);
  CHECK_FALSE(bare.m_table);
  CHECK_FALSE(bare.m_table_base);
}

TEST_CASE("configuration messages survive the wire") {
  ConfigOffer offer{.m_from = Ref("h1", 2),
                    .m_generation = Generation(4),
                    .m_base = Generation(3),
                    .m_text = std::string("a\0b\n", 4),
                    .m_digest = Digest("d")};
  const auto got = RoundTrip<schema::ConfigOffer>(offer);
  CHECK(got.m_text == offer.m_text);
  CHECK(got.m_base == offer.m_base);
  CHECK(got.m_digest == offer.m_digest);
  offer.m_base.reset();
  CHECK_FALSE(RoundTrip<schema::ConfigOffer>(offer).m_base);
  const auto request = RoundTrip<schema::ConfigRequest>(
      ConfigRequest{.m_from = Ref("h1", 2), .m_have = Generation(3)});
  CHECK(request.m_have == Generation(3));
  const auto status = RoundTrip<schema::DomainStatus>(
      DomainStatus{.m_domain = DomainId("north"),
                   .m_in_force = Generation(3),
                   .m_behind = {HostId("h2")}});
  CHECK(status.m_behind == std::vector{HostId("h2")});
}

}  // namespace
}  // namespace dotterelshed
