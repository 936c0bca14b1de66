#include "dotterelshed/platform_codec.h"

#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

auto Ref(const std::string& host, int start) -> HostRef {
  return {.m_host = HostId(host), .m_incarnation = Incarnation(start)};
}

TEST_CASE("a domain table survives the platform") {
  DomainTable table{.m_domain = DomainId("north"),
                    .m_lead_term = Term(3),
                    .m_lead = Ref("h1", 2)};
  table.m_pools[PoolId("p")] = {.m_pool = PoolId("p"),

                                .m_term = Term(9),
                                .m_primary_since = Term(7),
                                .m_primary = Ref("h1", 2)};
  table.m_members[HostId("h1")] = {
      .m_incarnation = Incarnation(2),
      .m_addresses = {.m_peer = "127.0.0.1:1", .m_http = "127.0.0.1:2"}};
  const auto text = EncodeDomainTable(table);
  const auto got = DecodeDomainTable(text);
  REQUIRE(got);
  CHECK(EncodeDomainTable(*got) == text);
  CHECK(got->m_pools.at(PoolId("p")).m_term == Term(9));
  CHECK(got->m_pools.at(PoolId("p")).m_primary_since == Term(7));
  CHECK(got->m_pools.at(PoolId("p")).m_holder.m_host.empty());
  CHECK(got->m_members.at(HostId("h1")).m_addresses.m_http == "127.0.0.1:2");
}

TEST_CASE("a lane survives the platform with answers of any bytes") {
  const std::string bytes("\xff\x00 odd \xc3\x28", 9);
  ClaimShardObject lane{.m_shard = ClaimShardId("lane-3"),
                        .m_sealed = {ClaimShardId("lane-3.1")},
                        .m_next_seal = 2};
  lane.m_claims.push_back({.m_key = IdempotencyKey("k1"),
                           .m_claimer = Ref("h1", 2),
                           .m_nonce = "n",
                           .m_has_result = true,
                           .m_outcome = OutcomeKind::kDone,
                           .m_http_status = 201,
                           .m_answer = bytes});
  lane.m_claims.push_back({.m_key = IdempotencyKey("k2"), .m_claimed_at_s = 7});
  lane.m_claims.push_back({.m_key = IdempotencyKey("k3"), .m_claimed_at_s = 5});
  const auto got = DecodeLane(EncodeLane(lane));
  REQUIRE(got);
  CHECK(got->m_claims[0].m_answer == bytes);
  CHECK(got->m_claims[0].m_http_status == 201);
  CHECK(got->m_next_seal == 2);
  CHECK(got->m_sealed == lane.m_sealed);
  const auto open = ClaimsWithoutResult(*got);
  REQUIRE(open.size() == 2);
  CHECK(open[0].m_key == IdempotencyKey("k3"));
}

TEST_CASE("a damaged object is an error that names the kind") {
  const auto table = DecodeDomainTable(R"({"domain":"x"})");
  REQUIRE_FALSE(table);
  CHECK(table.error().m_place == "domaintables");
  CHECK_FALSE(DecodeLane("no json"));
  CHECK_FALSE(DecodeStoredConfig(R"({"generation":"x","text":1})"));
  CHECK_FALSE(DecodeListedNode(R"({"leaving":3})"));
}

TEST_CASE("status, configuration and list entries survive the platform") {
  const auto status =
      DecodeDomainStatus(EncodeDomainStatus({.m_domain = DomainId("north"),
                                             .m_in_force = Generation(4),
                                             .m_behind = {HostId("h")}}));
  REQUIRE(status);
  CHECK(status->m_behind.size() == 1);
  const auto config = DecodeStoredConfig(EncodeStoredConfig(
      {.m_generation = Generation(4), .m_text = "{ // x\n}"}));
  REQUIRE(config);
  CHECK(config->m_text == "{ // x\n}");
  CHECK(DecodeListedNode(R"({"leaving":true})")->m_leaving);
}

}  // namespace
}  // namespace dotterelshed
