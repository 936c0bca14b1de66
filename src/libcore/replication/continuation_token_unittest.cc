#include "dotterelshed/continuation_token.h"

#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

auto Sample() -> ContinuationToken {
  return {.m_program = ProgramId("d1.00ff"),
          .m_turn = Turn(12),
          .m_chain = Digest("abc"),
          .m_holders = {{HostId("a1"), Incarnation(3)},
                        {HostId("a2"), Incarnation(4)}},
          .m_spent = Cost(77)};
}

TEST_CASE("a signed token decodes to the same fields") {
  const auto token = CheckToken(SignToken(Sample(), "secret"), "secret");
  REQUIRE(token);
  CHECK(token->m_program == ProgramId("d1.00ff"));
  CHECK(token->m_turn == Turn(12));
  CHECK(token->m_chain == Digest("abc"));
  CHECK(token->m_holders == Sample().m_holders);
  CHECK(token->m_spent == Cost(77));
}

TEST_CASE("a token signed with another key or with a changed byte is refused") {
  const auto text = SignToken(Sample(), "secret");
  CHECK(CheckToken(text, "other").error().m_code == ErrorCode::kForbidden);
  for (std::size_t i = 0; i < text.size(); ++i) {
    auto changed = text;
    changed[i] = changed[i] == 'x' ? 'y' : 'x';
    CHECK_FALSE(CheckToken(changed, "secret"));
  }
}

TEST_CASE("malformed and overlong tokens are refused") {
  for (const auto* text : {"", ".", "abc", "a.b", "....."}) {
    CHECK_FALSE(CheckToken(text, "secret"));
  }
  CHECK_FALSE(CheckToken(std::string(100000, 'a'), "secret"));
}

}  // namespace
}  // namespace dotterelshed
