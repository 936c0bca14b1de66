#include "quota/quota_messages.h"

#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

using std::chrono::milliseconds;

TEST_CASE("questions and answers are unchanged by encoding and decoding") {
  const auto ask = DecodeQuotaAsk(EncodeQuotaAsk(
      {.m_loan = true,
       .m_asks = {{AccountId("a"), 3, 4}, {AccountId("\"b"), 1, 0}}}));
  REQUIRE(ask);
  CHECK(ask->m_loan);
  REQUIRE(ask->m_asks.size() == 2);
  CHECK(ask->m_asks[0].m_need == 3);
  CHECK(ask->m_asks[0].m_extra == 4);
  CHECK(ask->m_asks[1].m_account == AccountId("\"b"));

  const auto answer = DecodeQuotaAnswer(
      EncodeQuotaAnswer({.m_leads = true,
                         .m_grants = true,
                         .m_answers = {{.m_tokens = 2,
                                        .m_lease = milliseconds(300),
                                        .m_next = milliseconds(20),
                                        .m_retry_after = milliseconds(900)}}}));
  REQUIRE(answer);
  CHECK(answer->m_leads);
  CHECK(answer->m_grants);
  REQUIRE(answer->m_answers.size() == 1);
  CHECK(answer->m_answers[0].m_tokens == 2);
  CHECK(answer->m_answers[0].m_lease == milliseconds(300));
  CHECK(answer->m_answers[0].m_next == milliseconds(20));
  CHECK(answer->m_answers[0].m_retry_after == milliseconds(900));
}

TEST_CASE("malformed quota messages are refused") {
  const auto* text = GENERATE("", "[]", "{}", "{\"loan\":1,\"asks\":[]}",
                              "{\"loan\":true,\"asks\":[[1,2,3]]}",
                              "{\"loan\":true,\"asks\":[[\"a\"]]}");
  CHECK_FALSE(DecodeQuotaAsk(text));
  CHECK_FALSE(DecodeQuotaAnswer(text));
}

TEST_CASE("a question can't ask for less than nothing") {
  const auto ask =
      DecodeQuotaAsk(R"({"loan":false,"asks":[["a",-5,99999999]]})");
  REQUIRE(ask);
  CHECK(ask->m_asks[0].m_need == 0);
  CHECK(ask->m_asks[0].m_extra <= 10000);
}

}  // namespace
}  // namespace dotterelshed
