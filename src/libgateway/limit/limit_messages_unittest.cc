#include "limit/limit_messages.h"

#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};
const EndpointId kEndpoint("e1");

TEST_CASE("a question for a permit arrives with what the endpoint said") {
  const LimitAsk ask{
      .m_endpoint = kEndpoint,
      .m_statements = {
          {kEndpoint,
           {.m_per_second = 2.5, .m_as_of = kNow - std::chrono::seconds(1)}},
          {EndpointId("e\xff"), {.m_as_of = kNow}}}};
  const auto later = kNow + std::chrono::hours(2);
  const auto decoded = DecodeLimitAsk(EncodeLimitAsk(ask, kNow), later);
  REQUIRE(decoded);
  CHECK(decoded->m_endpoint == kEndpoint);
  REQUIRE(decoded->m_statements.size() == 2);
  const auto& statement = decoded->m_statements.at(kEndpoint);
  CHECK(statement.m_per_second == 2.5);
  CHECK(statement.m_as_of == later - std::chrono::seconds(1));
  CHECK_FALSE(decoded->m_statements.at(EndpointId("e\xff")).m_per_second);
}

TEST_CASE("a lead's answer arrives with its waits") {
  const LimitAnswer answer{
      .m_leads = true,
      .m_permitted = true,
      .m_states = {{kEndpoint,
                    {.m_statement = {.m_per_second = 6.8, .m_as_of = kNow},
                     .m_wait = std::chrono::milliseconds(150)}}}};
  const auto decoded = DecodeLimitAnswer(EncodeLimitAnswer(answer, kNow), kNow);
  REQUIRE(decoded);
  CHECK(decoded->m_leads);
  CHECK(decoded->m_permitted);
  const auto& state = decoded->m_states.at(kEndpoint);
  CHECK(state.m_statement.m_per_second == 6.8);
  CHECK(state.m_wait == std::chrono::milliseconds(150));
}

TEST_CASE("malformed messages about limits are rejected") {
  for (const auto* text :
       {"", "{}", "[]", R"({"endpoint":"e","statements":[["e","x",1]]})",
        R"({"endpoint":1,"statements":[]})",
        R"({"endpoint":"e","statements":[["e"]]})"}) {
    CHECK_FALSE(DecodeLimitAsk(text, kNow));
    CHECK_FALSE(DecodeLimitAnswer(text, kNow));
  }
}

}  // namespace
}  // namespace dotterelshed
