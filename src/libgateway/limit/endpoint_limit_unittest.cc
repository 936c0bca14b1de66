#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "test_calls.h"

/// @file
/// Endpoints that state how many requests a second they take from all hosts.

namespace dotterelshed {
namespace {

using Request = ScriptedEndpoint::Request;

constexpr Duration kContactTime = std::chrono::seconds(3);
constexpr Duration kWindow = std::chrono::seconds(4);

/// Answers with one event, and with a limit if there is one.
auto AnswerWithLimit(const Request& request, double limit) -> void {
  const auto body = MakeEvent(1);
  const auto field =
      limit > 0 ? "Server-Limit: " + std::to_string(limit) + "\r\n" : "";
  request.m_stream->Write(request.Head(200, field + "Content-Length: " +
                                                std::to_string(body.size()) +
                                                "\r\n") +
                          body);
}

/// Four hosts in two failure domains.
struct TwoDomains {
  TestEnvironment m_environment;
  std::vector<EntryHost*> m_hosts;
  std::vector<std::shared_ptr<TestCaller>> m_callers;
  int m_sent = 0;

  auto Start() -> void {
    m_environment.m_host_settings.m_domains = {DomainId("z"), DomainId("y")};
    m_environment.Start();
    m_hosts.push_back(m_environment.m_host.get());
    for (const auto& [name, domain] :
         {std::pair("h2", "z"), std::pair("h3", "y"), std::pair("h4", "y")}) {
      m_hosts.push_back(&m_environment.AddHost(name, domain));
    }
  }

  /// Sends a turn to one host and a call to another one each 25 ms.
  auto SendFor(Duration time) -> void {
    const auto end = SteadyTime() + time;
    while (SteadyTime() < end) {
      const auto id = "r" + std::to_string(++m_sent);
      const auto host = static_cast<std::size_t>(m_sent) % m_hosts.size();
      const auto other = (host + 1) % m_hosts.size();
      m_callers.push_back(m_environment.CallAt(
          *m_hosts[host],
          "POST /turn/x HTTP/1.1\r\nHost: desk\r\nRequest-Id: " + id +
              "\r\nProgram-Id: p" + id + "\r\nToken-Budget: 100\r\n" +
              "Token-Counts: 100,10\r\nContent-Length: 0\r\n\r\n"));
      m_callers.push_back(m_environment.CallAt(*m_hosts[other], kSafeCall));
      m_environment.RunFor(std::chrono::milliseconds(25));
    }
  }

  /// Waits until all calls are answered.
  auto Finish() -> void {
    m_environment.RunUntil([this] {
      return std::all_of(
          m_callers.begin(), m_callers.end(),
          [](const auto& caller) { return caller->m_ended || caller->Body(); });
    });
  }

  auto CountAnswers(int status) const -> std::ptrdiff_t {
    return std::count_if(
        m_callers.begin(), m_callers.end(),
        [status](const auto& caller) { return caller->Status() == status; });
  }
};

/// Number of @p times in the span that ends @p window after @p from.
auto CountIn(const std::vector<TimePoint>& times,
             TimePoint from,
             Duration window) -> std::ptrdiff_t {
  return std::count_if(times.begin(), times.end(), [&](TimePoint time) {
    return time >= from && time < from + window;
  });
}

TEST_CASE("hosts together keep the limit that an endpoint states") {
  constexpr double kLimit = 3;
  TwoDomains setup;
  std::vector<TimePoint> arrivals;
  setup.m_environment.AddEndpoint([&arrivals](const Request& request) {
    arrivals.push_back(SteadyTime());
    AnswerWithLimit(request, kLimit);
  });
  setup.m_environment.AddEndpoint(
      [](const Request& request) { AnswerWithLimit(request, 0); });
  setup.Start();
  setup.SendFor(kContactTime + kWindow);
  setup.Finish();

  const auto allowed = 1.5 * kLimit * ToSeconds(kWindow) + 5;
  const auto got = CountIn(arrivals, arrivals.front() + kContactTime, kWindow);
  CHECK(static_cast<double>(got) <= allowed);
  CHECK(static_cast<double>(got) >= 0.5 * kLimit * ToSeconds(kWindow));
  CHECK(setup.CountAnswers(200) ==
        static_cast<std::ptrdiff_t>(setup.m_callers.size()));
}

TEST_CASE("hosts that an endpoint has told nothing keep its limit too") {
  constexpr double kLimit = 0.5;
  constexpr int kUntold = 30;
  TwoDomains setup;
  auto& environment = setup.m_environment;
  int runs = 0;
  environment.AddEndpoint([&runs](const Request& request) {
    ++runs;
    AnswerWithLimit(request, kLimit);
  });
  environment.AddEndpoint(
      [](const Request& request) { AnswerWithLimit(request, 0); });
  setup.Start();
  std::vector<EntryHost*> untold;
  untold.reserve(kUntold);
  for (int i = 0; i < kUntold; ++i) {
    untold.push_back(
        &environment.AddHost("u" + std::to_string(i), i % 2 == 0 ? "z" : "y"));
  }
  while (runs == 0) {
    environment.FinishAt(*setup.m_hosts[0], kSafeCall);
  }
  environment.RunFor(kContactTime);
  runs = 0;
  for (auto* host : untold) {
    setup.m_callers.push_back(environment.CallAt(*host, kSafeCall));
  }
  setup.Finish();
  CHECK(setup.CountAnswers(200) == kUntold);
  CHECK(runs <= 1.5 * kLimit * ToSeconds(kWindow) + 5);
}

TEST_CASE("what the limits of all endpoints leave no room for is refused") {
  TwoDomains setup;
  int runs = 0;
  const auto script = [&runs](const Request& request) {
    ++runs;
    AnswerWithLimit(request, 2);
  };
  setup.m_environment.AddEndpoint(script);
  setup.m_environment.AddEndpoint(script);
  setup.Start();
  setup.SendFor(std::chrono::seconds(3));
  setup.Finish();

  const auto sent = static_cast<std::ptrdiff_t>(setup.m_callers.size());
  const auto refused = setup.CountAnswers(503);
  CHECK(setup.CountAnswers(200) + refused == sent);
  CHECK(runs == setup.CountAnswers(200));
  CHECK(refused > sent / 2);
  for (const auto& caller : setup.m_callers) {
    CHECK((caller->Status() == 200 ||
           caller->m_got.find("Retry-After: ") != std::string::npos));
  }
}

TEST_CASE("all hosts use an endpoint again when its limit has ended") {
  TwoDomains setup;
  double limit = 2;
  std::vector<TimePoint> arrivals;
  setup.m_environment.AddEndpoint([&](const Request& request) {
    arrivals.push_back(SteadyTime());
    AnswerWithLimit(request, limit);
  });
  setup.m_environment.AddEndpoint(
      [](const Request& request) { AnswerWithLimit(request, 0); });
  setup.Start();
  setup.SendFor(std::chrono::seconds(1));
  limit = 0;
  setup.SendFor(std::chrono::seconds(4));
  const auto before = arrivals.size();
  setup.SendFor(std::chrono::seconds(1));
  // Without limits, each of the two gets about half of 80 requests a second.
  CHECK(arrivals.size() - before > 20);
}

}  // namespace
}  // namespace dotterelshed
