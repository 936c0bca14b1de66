#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "lead/lead_messages.h"
#include "peer_call.h"
#include "test_calls.h"

/// @file
/// How a lead determines whether another domain keeps a program's account.

namespace dotterelshed {
namespace {

using Request = ScriptedEndpoint::Request;

auto PutLedger(TestEnvironment& environment,
               const std::string& domain,
               const StoredLedger& ledger) -> void {
  environment.m_store.Put("ledgers", domain, EncodeStoredLedger(ledger));
}

auto LedgerOf(TestEnvironment& environment, const std::string& domain)
    -> StoredLedger {
  const auto object = environment.m_store.Find("ledgers", domain);
  const auto ledger = DecodeStoredLedger(object["spec"]);
  REQUIRE(ledger);
  return *ledger;
}

TEST_CASE(
    "a lead that doesn't answer is fenced before its record is relied on") {
  TestEnvironment environment;
  ScriptedEndpoint silent(environment.m_loop,
                          [](const Request& /*request*/) {});
  environment.PutLead("a", "h2", silent);
  const StoredLedger before{.m_host = HostId("h2"),
                            .m_incarnation = Incarnation(1),
                            .m_write = 7,
                            .m_fence = 3,
                            .m_record = {{{ProgramId("q"), Tokens(5)}}}};
  PutLedger(environment, "a", before);
  environment.AddEndpoint(AnswerTurn);
  environment.Start();
  CHECK(environment.Finish(MakeTurn("r1", 40, 10))->Status() == 200);
  const auto after = LedgerOf(environment, "a");
  CHECK(after.m_fence == 4);
  CHECK(after.m_write == 7);
  CHECK(after.m_host == HostId("h2"));
  CHECK(after.m_record.m_bounds == before.m_record.m_bounds);
}

TEST_CASE("a program recorded by a lead that doesn't answer isn't taken over") {
  TestEnvironment environment;
  ScriptedEndpoint silent(environment.m_loop,
                          [](const Request& /*request*/) {});
  environment.PutLead("a", "h2", silent);
  PutLedger(environment, "a",
            {.m_host = HostId("h2"),
             .m_incarnation = Incarnation(1),
             .m_record = {{{ProgramId("p"), Tokens(5)}}}});
  environment.AddEndpoint(AnswerTurn);
  environment.Start();
  CHECK(environment.Finish(MakeTurn("r1", 40, 10))->Status() == 503);
  CHECK(LedgerOf(environment, "z").m_record.m_bounds.empty());
}

// Guards against two advances of a program, each lost with a domain's lead.
TEST_CASE("a program gets no advance if another domain may have lost one") {
  const auto lost = GENERATE(false, true);
  TestEnvironment environment;
  ScriptedEndpoint other(environment.m_loop, [lost](const Request& request) {
    request.m_stream->Write(request.Complete(EncodeFindAccountResponse(
        {.m_leads = true, .m_may_have_lost_advances = lost})));
  });
  environment.PutLead("a", "h2", other);
  StoredLedger handed_over;
  handed_over.m_record.m_advance_wait = Duration{0};
  PutLedger(environment, "z", handed_over);
  environment.AddEndpoint(AnswerTurn);
  environment.Start();
  CHECK(environment.Finish(MakeTurn("r1", 40, 10))->Status() == 200);
  environment.m_store.SetDown(true);
  const std::string unknown =
      "POST /turn/x HTTP/1.1\r\nHost: desk\r\nRequest-Id: q1\r\n"
      "Program-Id: q\r\nSession-Id: q\r\nToken-Budget: 100\r\n"
      "Token-Counts: 100,10\r\nContent-Length: 0\r\n\r\n";
  CHECK(environment.Finish(unknown)->Status() == (lost ? 503 : 200));
}

TEST_CASE("a fenced lead searches again for its unrecorded programs") {
  TestEnvironment environment;
  auto claimed = false;
  int find_requests = 0;
  ScriptedEndpoint other(environment.m_loop, [&](const Request& request) {
    const auto& target = request.m_head.m_target;
    std::string answer;
    if (target == kFindPath) {
      ++find_requests;
      answer = EncodeFindAccountResponse({.m_leads = true, .m_found = claimed});
    } else if (target == kGrantPath) {
      answer =
          EncodeTurnGrantResponse({.m_verdict = GrantVerdict::kBudgetSpent});
    }
    request.m_stream->Write(request.Complete(answer));
  });
  environment.PutLead("a", "h2", other);
  environment.AddEndpoint(AnswerTurn);
  environment.Start();
  auto fenced = LedgerOf(environment, "z");
  ++fenced.m_fence;
  const auto first = environment.Call(MakeTurn("r1", 40, 10));
  environment.RunUntil([&find_requests] { return find_requests == 1; });
  claimed = true;
  PutLedger(environment, "z", fenced);
  environment.RunUntil([&first] { return first->m_ended || first->Body(); });
  CHECK(find_requests == 2);
  CHECK(first->Status() == 402);
  CHECK_FALSE(
      LedgerOf(environment, "z").m_record.m_bounds.contains(ProgramId("p")));
}

TEST_CASE("a new lead waits for disk hosts that may have its ledger") {
  TestEnvironment environment;
  StoredLedger stored{
      .m_host = HostId("h0"), .m_incarnation = Incarnation(5), .m_write = 1};
  stored.m_record.m_bounds = {{ProgramId("p"), Tokens(10)}};
  PutLedger(environment, "z", stored);
  auto journaled = stored;
  journaled.m_write = 2;
  journaled.m_record.m_bounds = {{ProgramId("p"), Tokens(40)}};
  // Both restart and don't answer their first request.
  int requests = 0;
  const auto answer = [&requests, &journaled](const Request& request) {
    if (++requests > 2) {
      request.m_stream->Write(request.Complete(EncodeJournalEntry(
          {.m_domain = DomainId("z"), .m_ledger = journaled})));
    }
  };
  ScriptedEndpoint first(environment.m_loop, answer);
  ScriptedEndpoint second(environment.m_loop, answer);
  for (const auto* disk : {&first, &second}) {
    environment.m_store.Put(
        "disk-hosts", disk == &first ? "d1" : "d2",
        EncodeLeadEntry({.m_host = HostId("d"),
                         .m_incarnation = Incarnation(1),
                         .m_peer_address = FormatTcpAddress(disk->address())}));
  }
  environment.AddEndpoint(AnswerTurn);
  environment.Start();
  CHECK(environment.Finish(MakeTurn("r1", 40, 10))->Status() == 402);
}

}  // namespace
}  // namespace dotterelshed
