#include "dotterelshed/endpoint_choice.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

/// @file
/// Replays arrivals at endpoints of several speeds, some of which turn slow for
/// moments, and compares the choice by expected end to the one by places.

namespace dotterelshed {
namespace {

const ServiceId kService("s");
constexpr int kEndpoints = 12;
constexpr int kSlots = 16;
constexpr auto kStep = std::chrono::milliseconds(5);
constexpr double kUsualTurnS = 0.2;
/// An endpoint that runs as many requests as it has places takes twice as long.
constexpr double kFullFactor = 2;

struct Running {
  EndpointId m_endpoint;
  TimePoint m_begun;
  /// Work left, in seconds on an idle usual endpoint.
  double m_left_s = kUsualTurnS;
};

struct Replay {
  explicit Replay(unsigned seed) : m_random(seed) {
    const std::vector<double> speeds{0.6, 1.0, 1.6};
    for (int i = 0; i < kEndpoints; ++i) {
      const EndpointId id("e" + std::to_string(i));
      PutEndpoint(m_directory,
                  {.m_id = id, .m_service = kService, .m_slots = kSlots});
      m_speeds[id] = speeds[m_random() % speeds.size()];
    }
  }

  auto Draw() -> double {
    return std::uniform_real_distribution<double>()(m_random);
  }

  auto Speed(const EndpointId& id) -> double {
    return m_slow_until[id] > m_now ? m_speeds[id] / 2.5 : m_speeds[id];
  }

  auto Arrive(const EndpointSlowness* slowness) -> void {
    const auto chosen = ChooseEndpoint(m_directory, m_loads,
                                       {.m_service = kService,
                                        .m_slowness = slowness,
                                        .m_sees_all_load = true,
                                        .m_draw = Draw()},
                                       m_now);
    REQUIRE(chosen);
    ++m_loads[*chosen].m_outstanding;
    m_running.push_back({.m_endpoint = *chosen, .m_begun = m_now});
  }

  auto Advance() -> void {
    m_now += kStep;
    for (const auto& [id, speed] : m_speeds) {
      if (Draw() < 0.0005) {
        m_slow_until[id] = m_now + std::chrono::seconds(3);
      }
    }
    for (auto& one : m_running) {
      const auto load =
          static_cast<double>(m_loads[one.m_endpoint].m_outstanding) / kSlots;
      one.m_left_s -= ToSeconds(kStep) * Speed(one.m_endpoint) /
                      (1 + (kFullFactor - 1) * load);
    }
    const auto ended =
        std::partition(m_running.begin(), m_running.end(),
                       [](const Running& one) { return one.m_left_s > 0; });
    std::for_each(ended, m_running.end(),
                  [this](const Running& one) { End(one); });
    m_running.erase(ended, m_running.end());
  }

  auto End(const Running& one) -> void {
    --m_loads[one.m_endpoint].m_outstanding;
    m_times.push_back(ToSeconds(m_now - one.m_begun));
    SlownessReport report;
    AddSlowness(report, one.m_endpoint,
                CompareToUsual(m_usual, "turn", m_now - one.m_begun));
    TakeSlowness(m_paces, report, m_now);
  }

  /// Returns the 95th percentile of the times, in seconds.
  auto Run(bool by_expected_end) -> double {
    for (int step = 0; step < 12000; ++step) {
      const auto slowness = CollectSlowness(m_paces, m_now);
      // About half of the places are taken.
      const auto arrivals = static_cast<int>(1.6 * Draw() + 0.9);
      for (int i = 0; i < arrivals; ++i) {
        Arrive(by_expected_end ? &slowness : nullptr);
      }
      Advance();
    }
    const auto rank = m_times.begin() +
                      static_cast<std::ptrdiff_t>(m_times.size() * 95 / 100);
    std::nth_element(m_times.begin(), rank, m_times.end());
    return *rank;
  }

  std::mt19937 m_random;
  EndpointDirectory m_directory;
  std::map<EndpointId, double> m_speeds;
  std::map<EndpointId, TimePoint> m_slow_until;
  EndpointLoads m_loads;
  std::vector<Running> m_running;
  SpeedReference m_usual;
  EndpointPaces m_paces;
  std::vector<double> m_times;
  TimePoint m_now{std::chrono::seconds(100)};
};

TEST_CASE("late turns get faster if endpoints are chosen by expected end") {
  for (unsigned seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    const auto by_places = Replay(seed).Run(false);
    const auto by_end = Replay(seed).Run(true);
    CAPTURE(by_places, by_end);
    CHECK(by_end < by_places);
  }
}

}  // namespace
}  // namespace dotterelshed
