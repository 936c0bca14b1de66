#include <catch2/catch.hpp>
#include <filesystem>
#include <string>
#include <vector>

#include "test_calls.h"

/// @file
/// Requests of client accounts: who is let in, what endpoints are told, and
/// what becomes of requests whose key is withdrawn.

namespace dotterelshed {
namespace {

namespace fs = std::filesystem;

using Json = nlohmann::json;
using Request = ScriptedEndpoint::Request;

constexpr auto kEvents = "id: 1\ndata: one\n\n";

/// A system with two accounts, an anonymous route and one that keeps histories.
struct AccountEnvironment : public TestEnvironment {
  explicit AccountEnvironment(bool keeps_history = false)
      : m_keeps_history(keeps_history) {
    std::string name = (fs::temp_directory_path() / "accounts.XXXXXX").string();
    m_folder = mkdtemp(name.data());
    PutAccounts(2, Json::parse(R"([{"name":"a","apiKeys":["ka","ka2"]},
                                   {"name":"b","apiKeys":["kb"]}])"));
  }
  ~AccountEnvironment() { fs::remove_all(m_folder); }
  AccountEnvironment(const AccountEnvironment&) = delete;
  auto operator=(const AccountEnvironment&) -> AccountEnvironment& = delete;

  auto PutAccounts(int version, const Json& accounts) -> void {
    auto spec = Json::parse(R"({"routes":[
       {"name":"safe","host":"desk","pathPrefix":"/safe/","kind":"safe",
        "service":"s","timeoutMs":4000,"maxAttempts":3},
       {"name":"open","host":"desk","pathPrefix":"/open/","kind":"safe",
        "service":"s","timeoutMs":4000,"anonymous":true}],
      "services":[{"name":"s","engine":{"slots":4,"tokensPerEvent":3}}],
      "limits":{"headerBytes":4000,"maxBodyBytes":10000}})");
    if (m_keeps_history) {
      spec["routes"].push_back(Json::parse(R"(
       {"name":"kept","host":"desk","pathPrefix":"/kept/","kind":"stream",
        "service":"s","timeoutMs":4000,"retain":true,"retentionS":60})"));
    }
    spec["version"] = version;
    spec["tenants"] = accounts;
    m_store.Put("config", "main", spec);
  }

  /// Takes the keys of the account a away.
  auto WithdrawKeys() -> void {
    PutAccounts(3, Json::parse(R"([{"name":"a","apiKeys":[]},
                                   {"name":"b","apiKeys":["kb"]}])"));
  }

  /// Adds an endpoint that records the requests that reach it.
  auto AddRecorder() -> void {
    AddEndpoint([this](const Request& request) {
      m_requests.push_back(request);
      request.m_stream->Write(request.Complete(kEvents));
    });
  }

  /// Sends a request again after 503, as callers do: on a machine that is short
  /// of time disk hosts may answer late.
  auto StatusOf(EntryHost& host, const std::string& request) -> int {
    constexpr int kMostTries = 8;
    auto status = 0;
    for (int i = 0; i < kMostTries && (i == 0 || status == 503); ++i) {
      status = FinishAt(host, request)->Status();
    }
    return status;
  }
  auto StatusOf(const std::string& request) -> int {
    return StatusOf(*m_host, request);
  }

  /// Adds a recorder and starts a host that keeps histories on two disk hosts.
  auto StartWithTwoDisks() -> void {
    AddRecorder();
    AddDiskHost("d1", m_folder + "/d1");
    AddDiskHost("d2", m_folder + "/d2", "y");
    Start();
  }

  bool m_keeps_history = false;
  std::string m_folder;
  std::vector<Request> m_requests;
};

/// @param fields  complete header lines.
auto MakeSafeCall(const std::string& fields,
                  const std::string& path = "/safe/x") -> std::string {
  return "GET " + path + " HTTP/1.1\r\nHost: desk\r\nRequest-Id: r1\r\n" +
         fields + "\r\n";
}

auto MakeKeptTurn(const std::string& id,
                  const std::string& previous,
                  const std::string& key,
                  int budget = 100) -> std::string {
  const auto field =
      previous.empty() ? "" : "Previous-Turn: " + previous + "\r\n";
  const auto input = key + ",";
  return "POST /kept/x HTTP/1.1\r\nHost: desk\r\nRequest-Id: " + id +
         "\r\nProgram-Id: p\r\nToken-Budget: " + std::to_string(budget) +
         "\r\nToken-Counts: 9,3\r\nCredential: " + key + "\r\n" + field +
         "Content-Length: " + std::to_string(input.size()) + "\r\n\r\n" + input;
}

TEST_CASE("an endpoint gets the name of the key's account, never the key") {
  AccountEnvironment environment;
  environment.AddRecorder();
  environment.Start();
  CHECK(environment.StatusOf(MakeSafeCall(
            "Credential: ka2\r\nTenant: b\r\ntenant: c\r\n")) == 200);
  REQUIRE(environment.m_requests.size() == 1);
  const auto& fields = environment.m_requests[0].m_head.m_fields;
  CHECK(FieldText(fields, "Tenant") == "a");
  CHECK(CountFields(fields, "Tenant") == 1);
  CHECK(CountFields(fields, "Credential") == 0);
}

TEST_CASE("a request without a known key is refused and not passed on") {
  AccountEnvironment environment;
  environment.AddRecorder();
  environment.Start();
  const auto* fields =
      GENERATE("", "Credential: other\r\n", "Credential: \r\n",
               "Credential: ka\r\nCredential: kb\r\n", "Tenant: a\r\n");
  const auto answer = environment.Finish(MakeSafeCall(fields));
  CHECK(answer->Status() == 401);
  CHECK_FALSE(answer->Body().value_or("").empty());
  CHECK(answer->m_got.find("other") == std::string::npos);
  CHECK(environment.m_requests.empty());
}

TEST_CASE("an anonymous route needs no key and says no account") {
  AccountEnvironment environment;
  environment.AddRecorder();
  environment.Start();
  CHECK(environment.StatusOf(MakeSafeCall("", "/open/x")) == 200);
  CHECK(environment.StatusOf(
            MakeSafeCall("Credential: no\r\nTenant: a\r\n", "/open/x")) == 200);
  REQUIRE(environment.m_requests.size() == 2);
  for (const auto& request : environment.m_requests) {
    CHECK(request.Field("Tenant").empty());
    CHECK(request.Field("Credential").empty());
  }
}

TEST_CASE("a withdrawn key is refused on a connection that is kept") {
  AccountEnvironment environment;
  environment.AddRecorder();
  environment.Start();
  const auto call = MakeSafeCall("Credential: ka\r\n");
  const auto caller = environment.Finish(call);
  CHECK(caller->Status() == 200);
  environment.WithdrawKeys();
  environment.RunFor(environment.m_host_settings.m_config_change);
  caller->m_got.clear();
  caller->m_stream->Write(call);
  environment.RunUntil([&caller] { return caller->Status() != 0; });
  CHECK(caller->Status() == 401);
  CHECK(environment.m_requests.size() == 1);
  CHECK(environment.StatusOf(MakeSafeCall("Credential: kb\r\n")) == 200);
}

TEST_CASE("a request whose key is withdrawn is not sent again") {
  AccountEnvironment environment;
  int sent = 0;
  std::optional<Request> waiting;
  for (int i = 0; i < 2; ++i) {
    environment.AddEndpoint([&](const Request& request) {
      ++sent;
      waiting = request;
    });
  }
  environment.Start();
  const auto caller =
      environment.Call(MakeSafeCall("Credential: ka\r\nDeadline-Ms: 4000\r\n"));
  environment.RunUntil([&] { return waiting.has_value(); });
  environment.WithdrawKeys();
  // The key is known to be withdrawn once another request is refused.
  environment.RunUntil([&] {
    return environment.StatusOf(MakeSafeCall("Credential: ka\r\n")) == 401;
  });
  const auto sent_before = sent;
  waiting->m_stream->Write(
      "HTTP/1.1 503 X\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n"
      "Content-Length: 0\r\n\r\n");
  environment.RunUntil([&] { return caller->Status() != 0; });
  CHECK(caller->Status() == 401);
  CHECK(sent == sent_before);
}

TEST_CASE("out of touch, a host lets known keys in unless that is forbidden") {
  AccountEnvironment environment;
  environment.AddRecorder();
  const auto strict = GENERATE(false, true);
  environment.m_host_settings.m_strict_key_withdrawal = strict;
  environment.m_host_settings.m_key_withdrawal = std::chrono::seconds(4);
  environment.Start();
  CHECK(environment.StatusOf(MakeSafeCall("Credential: ka\r\n")) == 200);
  environment.m_store.SetDown(true);
  // A watch that had begun before may still confirm the view.
  environment.RunFor(environment.m_host_settings.m_view_max_age +
                     environment.m_host_settings.m_key_withdrawal);
  CHECK(environment.StatusOf(MakeSafeCall("Credential: ka\r\n")) ==
        (strict ? 503 : 200));
  // A new key may have been added meanwhile.
  CHECK(environment.StatusOf(MakeSafeCall("Credential: new\r\n")) == 503);
  CHECK(environment.StatusOf(MakeSafeCall("", "/open/x")) == 200);
}

TEST_CASE("a turn of another account doesn't exist") {
  AccountEnvironment environment(true);
  environment.StartWithTwoDisks();
  auto& elsewhere = environment.AddHost("h2", "y");
  CHECK(environment.StatusOf(MakeKeptTurn("t1", "", "ka_")) == 401);
  CHECK(environment.StatusOf(MakeKeptTurn("t1", "", "ka")) == 200);
  CHECK(environment.StatusOf(MakeKeptTurn("u2", "t1", "kb")) == 404);
  CHECK(environment.StatusOf(elsewhere, MakeKeptTurn("u2", "t1", "kb")) == 404);
  CHECK(environment.StatusOf(MakeKeptTurn("t2", "t1", "ka")) == 200);
  CHECK(environment.StatusOf(elsewhere, MakeKeptTurn("t3", "t2", "ka")) == 200);
  CHECK(environment.m_requests.back().m_body == "ka,one\nka,one\nka,");
  // The same name of a turn and a program is one of its own there.
  CHECK(environment.StatusOf(MakeKeptTurn("t1", "", "kb")) == 200);
  CHECK(environment.StatusOf(MakeKeptTurn("t4", "t1", "kb")) == 200);
  CHECK(environment.m_requests.back().m_body == "kb,one\nkb,");
}

TEST_CASE("token budgets of different accounts are kept apart") {
  AccountEnvironment environment(true);
  environment.StartWithTwoDisks();
  constexpr int kOneTurn = 3;
  CHECK(environment.StatusOf(MakeKeptTurn("t1", "", "ka", kOneTurn)) == 200);
  CHECK(environment.StatusOf(MakeKeptTurn("t2", "", "ka2", kOneTurn)) == 402);
  CHECK(environment.StatusOf(MakeKeptTurn("t3", "", "kb", kOneTurn)) == 200);
}

TEST_CASE("an id of bytes that aren't UTF-8 is an id like any other") {
  AccountEnvironment environment(true);
  environment.StartWithTwoDisks();
  // This host asks the lead by messages, which are JSON.
  auto& follower = environment.AddHost("h2", "z");
  const auto first = std::string("t\xff");
  const auto second = std::string("t\xfe");
  CHECK(environment.StatusOf(follower, MakeKeptTurn(first, "", "ka")) == 200);
  CHECK(environment.StatusOf(follower, MakeKeptTurn("t2", first, "ka")) == 200);
  CHECK(environment.StatusOf(follower, MakeKeptTurn("t3", second, "ka")) ==
        404);
}

}  // namespace
}  // namespace dotterelshed
