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
                                 .m_host = HostId("h"),
                                 .m_may_retry = true};
  const auto read = DecodeTurnGrantRequest(EncodeTurnGrantRequest(request));
  REQUIRE(read);
  CHECK(read->m_grant.m_program == ProgramId("p"));
  CHECK(read->m_grant.m_budget == Tokens(400));
  CHECK(read->m_service == ServiceId("s"));
  CHECK(read->m_host == HostId("h"));
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
                                           .m_tokens = Tokens(135)}},
                                         std::chrono::microseconds(2500)}};
  const auto read = DecodeStoredLedger(EncodeStoredLedger(ledger));
  REQUIRE(read);
  CHECK(read->m_write == 3);
  CHECK(read->m_fence == 2);
  REQUIRE(read->m_quota_wait);
  CHECK(*read->m_quota_wait >= *ledger.m_quota_wait);
  CHECK(read->m_quotas_stopped);
  CHECK_FALSE(EncodeStoredLedger({}).contains("quota_wait_ms"));
  CHECK(read->m_record.m_advance_wait == std::chrono::milliseconds(3));
  CHECK_FALSE(EncodeStoredLedger({}).contains("advance_wait_ms"));
  CHECK(read->m_record.m_bounds.at(ProgramId("p")) == Tokens(270));
  REQUIRE(read->m_record.m_running.size() == 1);
  CHECK(read->m_record.m_running[0].m_request == RequestId("r"));
  CHECK(read->m_record.m_running[0].m_tokens == Tokens(135));
}

TEST_CASE("a handover's waits are never shortened by encoding") {
  const LeadHandover handover{
      .m_incarnation = Incarnation(7),
      .m_quota_wait = std::chrono::microseconds(1500),
      .m_unrecorded = LedgerRecord{
          {{ProgramId("p"), Tokens(9)}}, {}, std::chrono::microseconds(2500)}};
  const auto read = DecodeLeadHandover(EncodeLeadHandover(handover));
  REQUIRE(read);
  CHECK(read->m_incarnation == handover.m_incarnation);
  CHECK(read->m_quota_wait >= handover.m_quota_wait);
  REQUIRE(read->m_unrecorded);
  CHECK(read->m_unrecorded->m_bounds == handover.m_unrecorded->m_bounds);
  CHECK(read->m_unrecorded->m_advance_wait >=
        handover.m_unrecorded->m_advance_wait);
  const auto* text = GENERATE("", "[]", "{}", R"({"incarnation":"1"})",
                              R"({"incarnation":1,"unrecorded":{}})");
  CHECK_FALSE(DecodeLeadHandover(text));
}

auto MakeBatch() -> SettlementBatch {
  SettlementBatch batch{.m_settlements = {{.m_program = ProgramId("p"),
                                           .m_request = RequestId("r"),
                                           .m_used = Tokens(7)}}};
  batch.m_report = EndpointReport{.m_host = HostId("h")};
  CountOutcome(batch.m_report->m_outcomes, EndpointId("e"),
               EndpointOutcome::kLost);
  AddSlowness(batch.m_report->m_slowness, EndpointId("e"), 1.5);
  return batch;
}

TEST_CASE("a batch is unchanged by encoding and decoding") {
  const auto read = DecodeSettlements(EncodeSettlements(MakeBatch()));
  REQUIRE(read);
  REQUIRE(read->m_settlements.size() == 1);
  CHECK(read->m_settlements[0].m_used == Tokens(7));
  REQUIRE(read->m_report);
  CHECK(read->m_report->m_host == HostId("h"));
  CHECK(CountOf(read->m_report->m_outcomes.at(EndpointId("e")),
                EndpointOutcome::kLost) == 1);
  CHECK(read->m_report->m_slowness == MakeBatch().m_report->m_slowness);
}

TEST_CASE("earlier versions read a batch with a report as settlements") {
  const auto json = nlohmann::json::parse(EncodeSettlements(MakeBatch()));
  REQUIRE(json.size() == 2);
  for (const auto& one : json) {
    CHECK(one.at("program").is_string());
    CHECK(one.at("request").is_string());
    CHECK(one.at("used").is_number());
  }
  CHECK(DecodeSettlements(R"([{"program":"p","request":"r","used":1}])"));
}

TEST_CASE("a lead's judgement is unchanged by encoding and decoding") {
  const DomainJudgement judgement{
      .m_shares = {{EndpointId("e"), 0.25}},
      .m_slowness = {{EndpointId("e"), 1.5}},
      .m_hosts = 14,
      .m_probe = ProbeOrder{.m_endpoint = EndpointId("f"), .m_any = true}};
  const auto read = DecodeDomainJudgement(EncodeDomainJudgement(judgement));
  REQUIRE(read);
  CHECK(read->m_shares == judgement.m_shares);
  CHECK(read->m_slowness == judgement.m_slowness);
  CHECK(read->m_hosts == 14);
  REQUIRE(read->m_probe);
  CHECK(read->m_probe->m_endpoint == EndpointId("f"));
  CHECK(read->m_probe->m_any);
  CHECK_FALSE(DecodeDomainJudgement(""));
}

TEST_CASE("ids of any bytes are unchanged by encoding and decoding") {
  const auto* id = GENERATE("p\xe9", "\xff\xfe", "n\xc3\xa9", "%ff", "\x80");
  const ProgramId program(id);
  const RequestId id_of_turn(id);
  const auto request = DecodeTurnGrantRequest(EncodeTurnGrantRequest(
      {.m_grant = {.m_program = program, .m_request = id_of_turn}}));
  REQUIRE(request);
  CHECK(request->m_grant.m_program == program);
  CHECK(request->m_grant.m_request == id_of_turn);
  const auto find = DecodeFindAccountRequest(
      EncodeFindAccountRequest({.m_program = program}));
  REQUIRE(find);
  CHECK(find->m_program == program);
  const auto settlements = DecodeSettlements(
      EncodeSettlements({.m_settlements = {{.m_program = program,
                                            .m_request = id_of_turn,
                                            .m_used = Tokens(3)}}}));
  REQUIRE(settlements);
  CHECK(settlements->m_settlements.at(0).m_program == program);
  CHECK(settlements->m_settlements.at(0).m_request == id_of_turn);
  const auto journal = DecodeJournalEntry(EncodeJournalEntry(
      {.m_ledger = {.m_record = {{{program, Tokens(270)}},
                                 {{program, id_of_turn, Tokens(5)}}}}}));
  REQUIRE(journal);
  CHECK(journal->m_ledger.m_record.m_bounds.at(program) == Tokens(270));
  CHECK(journal->m_ledger.m_record.m_running.at(0).m_request == id_of_turn);
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
