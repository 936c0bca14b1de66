#include "call_parser.h"

#include <catch2/catch.hpp>
#include <map>

#include "answer_writer.h"
#include "dotterelshed/continuation_token.h"
#include "program_ids.h"

namespace dotterelshed::pvt {
namespace {

constexpr auto kSecret = "secret";
constexpr auto kBody =
    R"({"model":"m","messages":[{"role":"user","content":"hi"}]})";

auto SmallDesk() -> DeskConfig {
  DeskConfig config;
  const ServiceId models("models");
  config.m_services[models] = {.m_id = models,
                               .m_models = {{.m_id = ModelId("m")}},
                               .m_price_per_generated_token = Cost(2)};
  const ServiceId orders("orders");
  config.m_services[orders] = {
      .m_id = orders, .m_kind = ServiceKind::kPlain, .m_repeatable = false};
  const ClassId plain("plain");
  config.m_classes[plain] = {.m_id = plain};
  config.m_default_class = plain;
  const AccountId desk("desk");
  config.m_accounts[desk] = {.m_id = desk};
  return config;
}

using Headers = std::map<std::string, std::string>;

auto Parse(Headers headers, std::string_view body = kBody) -> ParsedCall {
  headers.emplace("authorization", "Bearer desk");
  const auto config = SmallDesk();
  const CallerInput input{.m_header =
                              [&headers](const std::string& name) {
                                const auto found = headers.find(name);
                                return found == headers.end() ? std::string()
                                                              : found->second;
                              },
                          .m_body = body};
  return ParseCompletion(input, {.m_config = config,
                                 .m_domain = DomainId("west"),
                                 .m_token_secret = kSecret});
}

TEST_CASE("a plain completion becomes a program of its own") {
  const auto call = Parse({});
  REQUIRE(call);
  CHECK(call->m_service == ServiceId("models"));
  CHECK(call->m_program == call->m_root);
  CHECK(IsProgramId(call->m_program));
  CHECK(ProgramOf(call->m_request) == call->m_program);
  CHECK(call->m_max_tokens == Tokens(1024));
  CHECK(call->m_cost_bound == Cost(2048));
  CHECK(call->m_repeatable);
}

TEST_CASE("a caller's request id leads to the same program each time") {
  const Headers headers{{"x-dotterelshed-request", "mine-1"}};
  const auto first = Parse(headers);
  const auto second = Parse(headers);
  REQUIRE(first);
  REQUIRE(second);
  CHECK(first->m_program == second->m_program);
}

TEST_CASE("a sub-agent's program has its parent's root") {
  const auto call = Parse({{"x-dotterelshed-parent", "west.0123456789abcdef"}});
  REQUIRE(call);
  CHECK(call->m_root == ProgramId("west.0123456789abcdef"));
  CHECK(RootOf(call->m_program) == call->m_root);
  CHECK(call->m_program != call->m_root);
}

TEST_CASE("a token decides the program and must be signed") {
  const ContinuationToken token{.m_program = ProgramId("west.0123456789abcdef"),
                                .m_turn = Turn(1)};
  const auto call =
      Parse({{"x-dotterelshed-token", SignToken(token, kSecret)}});
  REQUIRE(call);
  CHECK(call->m_program == token.m_program);
  const auto forged =
      Parse({{"x-dotterelshed-token", SignToken(token, "other")}});
  REQUIRE_FALSE(forged);
  CHECK(forged.error().m_http_status == 403);
}

TEST_CASE("bad input is refused with the fitting status") {
  CHECK(Parse({}, "{").error().m_http_status == 400);
  CHECK(Parse({}, R"({"model":"m"})").error().m_http_status == 400);
  CHECK(Parse({}, R"({"model":"x","messages":[1]})").error().m_http_status ==
        404);
  CHECK(Parse({{"authorization", "Bearer nobody"}}).error().m_http_status ==
        401);
  CHECK(Parse({{"x-dotterelshed-turn", "-1"}}).error().m_http_status == 400);
  CHECK(Parse({{"x-dotterelshed-program", "x"}}).error().m_http_status == 400);
  CHECK(Parse({{"x-dotterelshed-class", "x"}}).error().m_http_status == 404);
  CHECK(Parse({{"idempotency-key", "a b"}}).error().m_http_status == 400);
}

TEST_CASE("text is cut only between whole characters") {
  CHECK(CompleteUtf8Length("abc") == 3);
  CHECK(CompleteUtf8Length("a\xc3\xa6") == 3);
  CHECK(CompleteUtf8Length("a\xc3") == 1);
  CHECK(CompleteUtf8Length("a\xf0\x9f\x92") == 1);
}

TEST_CASE("an answer's status follows its outcome and reason") {
  CHECK(HttpStatus({.m_outcome = OutcomeKind::kDone}) == 200);
  CHECK(HttpStatus({.m_outcome = OutcomeKind::kNotRun,
                    .m_reason = ReasonCode::kBudgetExceeded}) == 402);
  CHECK(HttpStatus({.m_outcome = OutcomeKind::kUnknown,
                    .m_reason = ReasonCode::kTimedOut}) == 504);
  CHECK(HttpStatus({.m_outcome = OutcomeKind::kFailed,
                    .m_reason = ReasonCode::kEndpointError,
                    .m_http_status = 400}) == 400);
}

}  // namespace
}  // namespace dotterelshed::pvt
