#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <vector>

#include "dotterelshed/endpoint_choice.h"
#include "dotterelshed/endpoint_judgement.h"

/// @file
/// Replays a domain's hosts that choose endpoints for themselves: how many
/// requests are lost to endpoints that reset them, and how many connections are
/// made.

namespace dotterelshed {
namespace {

constexpr int kHosts = 14;
constexpr int kEndpoints = 18;
constexpr auto kStep = std::chrono::milliseconds(5);
/// Time for which an endpoint keeps an idle connection.
constexpr auto kKept = std::chrono::seconds(2);

auto Id(int number) -> EndpointId {
  return EndpointId("e" + std::to_string(number));
}

struct Domain {
  explicit Domain(unsigned seed) : m_random(seed) {
    for (int i = 0; i < kEndpoints; ++i) {
      PutEndpoint(m_directory,
                  {.m_id = Id(i), .m_service = ServiceId("s"), .m_slots = 6});
    }
  }

  auto Draw() -> double {
    return std::uniform_real_distribution<double>()(m_random);
  }

  /// A request of a random host; the first @p failing endpoints reset it.
  auto Request(int failing, bool judged, bool subsets) -> void {
    const auto host = m_random() % kHosts;
    const HostId name("h" + std::to_string(host));
    const auto shares = SharesOf(m_judgement, m_directory);
    const auto chosen = ChooseEndpoint(m_directory, m_loads.at(host),
                                       {.m_service = ServiceId("s"),
                                        .m_shares = judged ? &shares : nullptr,
                                        .m_share_draw = Draw(),
                                        .m_host = subsets ? name : HostId(),
                                        .m_hosts = kHosts,
                                        .m_draw = Draw()},
                                       m_now);
    REQUIRE(chosen);
    const auto lost = std::stoi(chosen->value().substr(1)) < failing;
    auto& load = m_loads.at(host)[*chosen];
    m_lost += lost ? 1 : 0;
    if (lost) {
      NoteFailure(load, m_now);
    } else {
      NoteAnswer(load, kStep);
    }
    OutcomeReport report;
    CountOutcome(report, *chosen,
                 lost ? EndpointOutcome::kLost : EndpointOutcome::kServed);
    TakeReport(m_judgement, m_directory, name, report, m_now);
    auto& last_used = m_last_used[{host, *chosen}];
    m_connections += m_now - last_used > kKept ? 1 : 0;
    last_used = m_now;
  }

  /// Two requests a step for seven seconds.
  auto Run(int failing, bool judged, bool subsets) -> void {
    const auto end = m_now + std::chrono::seconds(7);
    while (m_now < end) {
      Request(failing, judged, subsets);
      Request(failing, judged, subsets);
      m_now += kStep;
      AdvanceJudgement(m_judgement, m_directory, m_now);
    }
  }

  std::mt19937 m_random;
  EndpointDirectory m_directory;
  EndpointJudgement m_judgement;
  std::vector<EndpointLoads> m_loads{kHosts};
  std::map<std::pair<std::size_t, EndpointId>, TimePoint> m_last_used;
  int m_lost = 0;
  int m_connections = 0;
  TimePoint m_now{std::chrono::seconds(100)};
};

TEST_CASE("hosts that judge together lose few requests to failing endpoints") {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    Domain alone(seed);
    alone.Run(4, false, false);
    Domain together(seed);
    together.Run(4, true, false);
    CAPTURE(alone.m_lost, together.m_lost);
    CHECK(together.m_lost * 4 <= alone.m_lost);
  }
}

TEST_CASE("hosts that keep to subsets make half of the connections") {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    Domain without(seed);
    without.Run(0, false, false);
    Domain with(seed);
    with.Run(0, false, true);
    CAPTURE(without.m_connections, with.m_connections);
    CHECK(with.m_connections * 2 <= without.m_connections);
  }
}

}  // namespace
}  // namespace dotterelshed
