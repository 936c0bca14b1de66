#include <catch2/catch.hpp>
#include <string>

#include "test_calls.h"
#include "test_environment.h"

/// @file
/// Hosts of a domain judge endpoints together.

namespace dotterelshed {
namespace {

using Request = ScriptedEndpoint::Request;

constexpr int kEndpoints = 8;

/// Endpoints of which the first may be failing.
struct Endpoints {
  Endpoints() : m_first(AddFirst()) {
    for (int i = 1; i < kEndpoints; ++i) {
      m_environment.AddEndpoint(AnswerTurn);
    }
    m_environment.m_obligations.m_judge_endpoints = true;
    auto config = m_environment.m_store.Find("config", "main")["spec"];
    config["version"] = 2;
    for (auto& route : config["routes"]) {
      route["maxAttempts"] = 3;
    }
    m_environment.m_store.Put("config", "main", config);
  }

  auto AddFirst() -> ScriptedEndpoint& {
    return m_environment.AddEndpoint([this](const Request& request) {
      if (m_fails) {
        request.m_stream->Close();
      } else {
        AnswerTurn(request);
      }
    });
  }

  auto CallAt(EntryHost& host) -> void { ServeAt(host, kSafeCall); }

  /// Sends a request and closes its connection after the answer. A host takes
  /// only as many connections as half of its descriptors allow.
  auto ServeAt(EntryHost& host, const std::string& request) -> void {
    const auto caller = m_environment.FinishAt(host, request);
    CHECK(caller->Status() == 200);
    caller->m_stream->Close();
  }

  /// Calls until the first endpoint has had this many requests.
  auto CallUntil(EntryHost& host, int requests) -> void {
    for (int i = 0; i < 400 && m_first.requests() < requests; ++i) {
      CallAt(host);
    }
    REQUIRE(m_first.requests() == requests);
  }

  TestEnvironment m_environment;
  bool m_fails = true;
  ScriptedEndpoint& m_first;
};

/// Two hosts of a domain, the first of which leads.
struct TwoHosts : Endpoints {
  TwoHosts() {
    m_environment.Start();
    m_other = &m_environment.AddHost("h2", "z");
  }

  auto Host() -> EntryHost& { return *m_environment.m_host; }

  EntryHost* m_other = nullptr;
};

TEST_CASE("what hosts learn of an endpoint keeps the whole domain off it") {
  TwoHosts hosts;
  hosts.CallUntil(hosts.Host(), 2);
  hosts.CallUntil(*hosts.m_other, 3);
  const auto probed = SteadyTime() + JudgementOptions().m_first_probe;
  hosts.m_environment.RunFor(std::chrono::milliseconds(200));
  auto served = 0;
  while (SteadyTime() < probed - std::chrono::milliseconds(200)) {
    hosts.CallAt(*hosts.m_other);
    hosts.ServeAt(hosts.Host(),
                  MakeTurn("r" + std::to_string(served), 1000, 10));
    ++served;
  }
  CHECK(served >= kEndpoints);
  CHECK(hosts.m_first.requests() == 3);
}

TEST_CASE("an endpoint that works again is probed and gets requests again") {
  TwoHosts hosts;
  hosts.CallUntil(hosts.Host(), 2);
  hosts.CallUntil(*hosts.m_other, 3);
  hosts.m_fails = false;
  // The probe is a turn, or any request once that has waited; the steps of the
  // return need time and several requests.
  for (int i = 0; i < 800 && hosts.m_first.requests() <= 10; ++i) {
    hosts.CallAt(i % 2 == 0 ? hosts.Host() : *hosts.m_other);
    hosts.ServeAt(hosts.Host(), MakeTurn("r" + std::to_string(i), 10000, 10));
    hosts.m_environment.RunFor(std::chrono::milliseconds(25));
  }
  CHECK(hosts.m_first.requests() > 10);
}

TEST_CASE("without a lead that answers, a host judges alone") {
  Endpoints endpoints;
  ScriptedEndpoint silent(endpoints.m_environment.m_loop,
                          [](const Request& /*request*/) {});
  endpoints.m_environment.PutLead("z", "h9", silent);
  endpoints.m_environment.StartFollower();
  auto& host = *endpoints.m_environment.m_host;
  endpoints.CallUntil(host, 2);
  // Until the avoidance after two failures in a row is over.
  endpoints.m_environment.RunFor(std::chrono::milliseconds(600));
  endpoints.CallUntil(host, 3);
  const auto probed = SteadyTime() + JudgementOptions().m_first_probe;
  endpoints.m_environment.RunFor(std::chrono::milliseconds(600));
  while (SteadyTime() < probed - std::chrono::milliseconds(200)) {
    endpoints.CallAt(host);
  }
  CHECK(endpoints.m_first.requests() == 3);
}

}  // namespace
}  // namespace dotterelshed
