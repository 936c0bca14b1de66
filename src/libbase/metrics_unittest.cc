#include "dotterelshed/metrics.h"

#include <catch2/catch.hpp>
#include <set>
#include <thread>
#include <vector>

namespace dotterelshed {
namespace {

using Catch::Contains;

TEST_CASE("the metrics catalogue is in order with unique names") {
  std::set<std::string_view> names;
  auto next = 0;
  for (const auto& info : MetricCatalogue()) {
    CHECK(static_cast<int>(info.m_id) == next++);
    CHECK(names.insert(info.m_name).second);
    CHECK_FALSE(info.m_help.empty());
  }
}

TEST_CASE("metrics are written in the text format") {
  ResetMetrics();
  CountMetric(MetricId::kCalls, "done", 2);
  SetMetric(MetricId::kOpenRequests, 3);
  ObserveMetric(MetricId::kCallSeconds, "a\"b", std::chrono::milliseconds(3));
  ObserveMetric(MetricId::kCallSeconds, "a\"b", std::chrono::minutes(10));
  const auto text = FormatMetrics();
  CHECK_THAT(text, Contains("# TYPE dotterelshed_calls_total counter\n"
                            "dotterelshed_calls_total{outcome=\"done\"} 2\n"));
  CHECK_THAT(text, Contains("dotterelshed_open_requests 3\n"));
  CHECK_THAT(text, Contains("{service=\"a\\\"b\",le=\"0.002\"} 0\n"));
  CHECK_THAT(text, Contains("{service=\"a\\\"b\",le=\"0.005\"} 1\n"));
  CHECK_THAT(text, Contains("{service=\"a\\\"b\",le=\"+Inf\"} 2\n"));
  CHECK_THAT(text, Contains("call_seconds_sum{service=\"a\\\"b\"} 600.003\n"));
}

TEST_CASE("label values are bounded") {
  ResetMetrics();
  for (auto i = 0; i < 2 * kMaxMetricLabels; ++i) {
    CountMetric(MetricId::kCalls, std::to_string(i));
  }
  CHECK_THAT(FormatMetrics(), Contains("{outcome=\"other\"} " +
                                       std::to_string(kMaxMetricLabels)));
}

TEST_CASE("no count is lost between threads") {
  ResetMetrics();
  constexpr auto kThreads = 4;
  constexpr auto kCounts = 2000;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (auto i = 0; i < kThreads; ++i) {
    threads.emplace_back([] {
      for (auto j = 0; j < kCounts; ++j) {
        CountMetric(MetricId::kPeerForwards);
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  CHECK_THAT(FormatMetrics(),
             Contains("dotterelshed_forwards_total " +
                      std::to_string(kThreads * kCounts) + "\n"));
}

}  // namespace
}  // namespace dotterelshed
