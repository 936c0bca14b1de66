#include "lead/lead_messages.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace dotterelshed {
namespace {

auto MakeLead() -> KnownLead {
  return {.m_domain = DomainId("z"),
          .m_entry = {.m_host = HostId("h"),
                      .m_incarnation = Incarnation(1LL << 60),
                      .m_peer_address = "127.0.0.1:5",
                      .m_processor_share = 0.5},
          .m_version = ResourceVersion(12)};
}

TEST_CASE("requests and answers are unchanged by encoding and decoding") {
  const TurnGrantRequest request{.m_grant = {.m_program = ProgramId("p"),
                                             .m_request = RequestId("r"),
                                             .m_budget = Tokens(400),
                                             .m_turn_max = Tokens(135)},
                                 .m_service = ServiceId("s"),
                                 .m_may_retry = true};
  const auto read = DecodeTurnGrantRequest(EncodeTurnGrantRequest(request));
  REQUIRE(read);
  CHECK(read->m_grant.m_program == ProgramId("p"));
  CHECK(read->m_grant.m_budget == Tokens(400));
  CHECK(read->m_service == ServiceId("s"));
  CHECK(read->m_may_retry);

  const auto verdict = GENERATE(
      GrantVerdict::kGranted, GrantVerdict::kBudgetSpent,
      GrantVerdict::kElsewhere, GrantVerdict::kNotLead, GrantVerdict::kNoStore,
      GrantVerdict::kRetry, GrantVerdict::kUnavailable);
  const auto answer = DecodeTurnGrantResponse(EncodeTurnGrantResponse(
      {.m_verdict = verdict, .m_tokens = Tokens(9), .m_lead = MakeLead()}));
  REQUIRE(answer);
  CHECK(answer->m_verdict == verdict);
  CHECK(answer->m_tokens == Tokens(9));
  REQUIRE(answer->m_lead);
  CHECK(answer->m_lead->m_entry.m_incarnation == Incarnation(1LL << 60));
  CHECK(answer->m_lead->m_version == ResourceVersion(12));
}

TEST_CASE("a stored ledger is unchanged by encoding and decoding") {
  const StoredLedger ledger{.m_host = HostId("h"),
                            .m_incarnation = Incarnation(5),
                            .m_write = 3,
                            .m_fence = 2,
                            .m_quota_wait = std::chrono::microseconds(1500),
                            .m_quotas_stopped = true,
                            .m_record = {{{ProgramId("p"), Tokens(270)}},
                                         {{.m_program = ProgramId("p"),
                                           .m_request = RequestId("r"),
                                           .m_tokens = Tokens(135)}}}};
  const auto read = DecodeStoredLedger(EncodeStoredLedger(ledger));
  REQUIRE(read);
  CHECK(read->m_write == 3);
  CHECK(read->m_fence == 2);
  REQUIRE(read->m_quota_wait);
  CHECK(*read->m_quota_wait >= *ledger.m_quota_wait);
  CHECK(read->m_quotas_stopped);
  CHECK_FALSE(EncodeStoredLedger({}).contains("quota_wait_ms"));
  CHECK(read->m_record.m_bounds.at(ProgramId("p")) == Tokens(270));
  REQUIRE(read->m_record.m_running.size() == 1);
  CHECK(read->m_record.m_running[0].m_request == RequestId("r"));
  CHECK(read->m_record.m_running[0].m_tokens == Tokens(135));
}

TEST_CASE("a malformed message is an error, not a default") {
  const auto* text = GENERATE("", "{}", "[]", "7", R"({"program":7})");
  CHECK_FALSE(DecodeTurnGrantRequest(text));
  CHECK_FALSE(DecodeTurnGrantResponse(text));
  CHECK_FALSE(DecodeFindAccountRequest(text));
  CHECK_FALSE(DecodeFindAccountResponse(text));
  CHECK_FALSE(DecodeKnownLead(text));
}

}  // namespace
}  // namespace dotterelshed
