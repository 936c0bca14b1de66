#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "dotterelshed/quota_term.h"
#include "lead/lead_messages.h"
#include "peer_call.h"
#include "quota/quota_messages.h"
#include "test_environment.h"

/// @file
/// Requests of accounts with a quota: who is admitted, refused or put off.

namespace dotterelshed {
namespace {

using Json = nlohmann::json;
using Request = ScriptedEndpoint::Request;

constexpr auto kRequest =
    "GET /safe/x HTTP/1.1\r\nHost: desk\r\nRequest-Id: r\r\n"
    "Credential: ka\r\n\r\n";
constexpr auto kFreeRequest =
    "GET /safe/x HTTP/1.1\r\nHost: desk\r\nRequest-Id: r\r\n"
    "Credential: kb\r\n\r\n";

/// A system in which the account "a" has a quota and "b" has none.
struct QuotaEnvironment : public TestEnvironment {
  QuotaEnvironment(double rate, double slack) {
    m_host_settings.m_domains = {DomainId("y"), DomainId("z")};
    m_host_settings.m_quota_slack = slack;
    auto spec = m_store.Find("config", "main")["spec"];
    spec["version"] = 2;
    spec["tenants"] = {{{"name", "a"}, {"apiKeys", {"ka"}}, {"ratePerS", rate}},
                       {{"name", "b"}, {"apiKeys", {"kb"}}}};
    m_store.Put("config", "main", spec);
  }

  /// Sends requests at once and returns the number of answers with a status.
  auto CountAnswers(int requests, int status) -> int {
    std::vector<std::shared_ptr<TestCaller>> callers;
    callers.reserve(static_cast<std::size_t>(requests));
    for (int i = 0; i < requests; ++i) {
      callers.push_back(Call(kRequest));
    }
    RunUntil([&callers] {
      return std::all_of(callers.begin(), callers.end(), [](const auto& one) {
        return one->m_ended || one->Body();
      });
    });
    return static_cast<int>(std::count_if(
        callers.begin(), callers.end(),
        [status](const auto& one) { return one->Status() == status; }));
  }
};

TEST_CASE("requests beyond the quota are refused and don't reach an endpoint") {
  QuotaEnvironment environment(20, 0);
  auto& endpoint = environment.AddEndpoint(AnswerPlain);
  environment.Start();
  environment.RunFor(std::chrono::seconds(1));
  constexpr auto kRequests = 40;
  const auto refused = environment.CountAnswers(kRequests, 429);
  CHECK(refused > 0);
  CHECK(refused < kRequests);
  CHECK(endpoint.requests() == kRequests - refused);
  const auto caller = environment.Finish(kRequest);
  CHECK(caller->Status() == 429);
  CHECK(caller->m_got.find("Retry-After: ") != std::string::npos);
  CHECK(environment.Finish(kFreeRequest)->Status() == 200);
}

TEST_CASE("an exhausted account costs no question a request") {
  QuotaEnvironment environment(1, 0);
  environment.AddEndpoint(AnswerPlain);
  ScriptedEndpoint lead(environment.m_loop, [](const Request& request) {
    const auto quota = request.m_head.m_target == kQuotaPath;
    request.m_stream->Write(request.Complete(
        quota ? EncodeQuotaAnswer(
                    {.m_leads = true,
                     .m_grants = true,
                     .m_answers = {{.m_next = std::chrono::seconds(30)}}})
              : std::string()));
  });
  environment.PutLead("z", "h2", lead);
  environment.StartFollower();
  CHECK(environment.Finish(kRequest)->Status() == 429);
  const auto before = lead.requests();
  for (int i = 0; i < 50; ++i) {
    // One after the other, so that they would not share a question.
    CHECK(environment.Finish(kRequest)->Status() == 429);
  }
  // The lead also gets requests for views.
  CHECK(lead.requests() - before < 10);
}

TEST_CASE("a lead that runs out of tokens borrows from other domains") {
  QuotaEnvironment environment(100, 0);
  environment.AddEndpoint(AnswerPlain);
  environment.Start();
  auto& other = environment.AddHost("h2", "y");
  environment.RunUntil([&other] { return other.leads(); });
  environment.RunFor(std::chrono::seconds(1));
  const auto share = DomainBucket({100, 0}, {.m_slack = 0, .m_domains = 2});
  const auto own = static_cast<int>(share.m_capacity);
  // More than the own share holds, less than both.
  CHECK(environment.CountAnswers(own + own / 2, 200) == own + own / 2);
}

/// Stores the ledger that an earlier lead of the domain "z" left.
auto PutLedger(TestEnvironment& environment,
               const std::string& host,
               bool stopped) -> void {
  environment.m_store.Put("ledgers", "z",
                          EncodeStoredLedger({.m_host = HostId(host),
                                              .m_incarnation = Incarnation(1),
                                              .m_quota_wait = Duration{0},
                                              .m_quotas_stopped = stopped}));
}

TEST_CASE("a lead that took over grants nothing while the last one might") {
  QuotaEnvironment environment(100, 20);
  environment.AddEndpoint(AnswerPlain);
  PutLedger(environment, "h2", false);
  environment.Start();
  const auto caller = environment.Finish(kRequest);
  CHECK(caller->Status() == 503);
  CHECK(caller->m_got.find("Retry-After: ") != std::string::npos);
  environment.RunFor(kQuotaAuthority + std::chrono::milliseconds(500));
  CHECK(environment.Finish(kRequest)->Status() == 200);
}

TEST_CASE("a lead that knows that the last one stopped grants soon") {
  QuotaEnvironment environment(100, 20);
  environment.AddEndpoint(AnswerPlain);
  const auto yielded = GENERATE(true, false);
  // Else an earlier process of the same host left the ledger.
  PutLedger(environment, yielded ? "h2" : "h1", yielded);
  environment.Start();
  environment.RunFor(std::chrono::milliseconds(500));
  CHECK(environment.Finish(kRequest)->Status() == 200);
}

TEST_CASE("a new lead has time to start where accounts have quotas") {
  QuotaEnvironment environment(1000, 20);
  ScriptedEndpoint silent(environment.m_loop,
                          [](const Request& /*request*/) {});
  environment.PutLead("z", "h2", silent);
  environment.AddEndpoint(AnswerTurn);
  environment.StartFollower();
  std::string turn = kTurnRequest;
  turn.insert(turn.find("\r\n") + 2, "Credential: kb\r\n");
  environment.Call(turn);
  environment.RunFor(std::chrono::milliseconds(1500));
  CHECK(silent.requests() > 0);
  CHECK(environment.LeadHost() == "h2");
  environment.RunFor(std::chrono::milliseconds(1500));
  environment.Finish(turn);
  CHECK(environment.LeadHost() == "h1");
}

TEST_CASE("a token of a request that no endpoint ran is used again") {
  QuotaEnvironment environment(0.001, 20);
  int refusals = 0;
  environment.AddEndpoint([&refusals](const Request& request) {
    ++refusals;
    request.m_stream->Write(
        request.Head(503, "Not-Executed: 1\r\nContent-Length: 0\r\n"));
  });
  ScriptedEndpoint lead(environment.m_loop, [](const Request& request) {
    const auto quota = request.m_head.m_target == kQuotaPath;
    request.m_stream->Write(request.Complete(
        quota ? EncodeQuotaAnswer(
                    {.m_leads = true,
                     .m_grants = true,
                     .m_answers = {{.m_tokens = 1,
                                    .m_lease = std::chrono::seconds(300)}}})
              : std::string()));
  });
  environment.PutLead("z", "h2", lead);
  environment.StartFollower();
  CHECK(environment.Finish(kRequest)->Status() == 503);
  const auto before = lead.requests();
  CHECK(environment.Finish(kRequest)->Status() == 503);
  CHECK(lead.requests() == before);
  CHECK(refusals == 2);
}

}  // namespace
}  // namespace dotterelshed
