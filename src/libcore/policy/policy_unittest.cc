#include "dotterelshed/policy.h"

#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

constexpr TimePoint kStart{};

auto OneEndpoint() -> std::vector<EndpointConfig> {
  return {{.m_id = EndpointId("e1"), .m_max_concurrency = 1}};
}

auto ShortCall(const std::string& name) -> PolicyCall {
  return {.m_request = RequestId(name),
          .m_program = ProgramId("d." + name),
          .m_root = ProgramId("d." + name),
          .m_prompt_tokens = Tokens(100),
          .m_max_tokens = Tokens(50),
          .m_content = Digest(name),
          .m_deadline = kStart + std::chrono::seconds(60)};
}

TEST_CASE("a call is admitted, dispatched once and finished") {
  auto policy = MakePoolPolicy({});
  SetPoolConfig(*policy, {}, OneEndpoint(), kStart);
  REQUIRE_FALSE(Admit(*policy, ShortCall("a"), kStart));
  REQUIRE_FALSE(Admit(*policy, ShortCall("b"), kStart));
  const auto first = Dispatch(*policy, kStart);
  REQUIRE(first.size() == 1);
  CHECK(first[0].m_request == RequestId("a"));
  const auto verdict = Finish(*policy, first[0].m_attempt,
                              {.m_end = AttemptEnd::kCompleted}, kStart);
  CHECK(verdict.m_kind == FinishVerdict::Kind::kFinal);
  REQUIRE(Dispatch(*policy, kStart).size() == 1);
}

}  // namespace
}  // namespace dotterelshed
