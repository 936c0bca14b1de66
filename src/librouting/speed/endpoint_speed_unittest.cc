#include "dotterelshed/endpoint_speed.h"

#include <catch2/catch.hpp>

#include <random>

namespace dotterelshed {
namespace {

const EndpointId kId("e");
const TimePoint kStart{std::chrono::seconds(100)};

auto Report(double slowness, std::uint32_t answers) -> SlownessReport {
  return {{kId, {.m_answers = answers, .m_sum = slowness * answers}}};
}

TEST_CASE("times are compared to the usual one of their measure") {
  SpeedReference reference;
  for (int i = 0; i < 50; ++i) {
    CHECK(CompareToUsual(reference, "a", std::chrono::milliseconds(20)) ==
          Approx(1));
    CompareToUsual(reference, "b", std::chrono::milliseconds(200));
  }
  CHECK(CompareToUsual(reference, "a", std::chrono::milliseconds(40)) ==
        Approx(2).epsilon(0.1));
  CHECK(CompareToUsual(reference, "a", std::chrono::seconds(9)) == Approx(4));
}

TEST_CASE("an unknown endpoint is usual, and a few answers change little") {
  CHECK(SlownessOf({}, kStart) == 1);
  EndpointPaces paces;
  TakeSlowness(paces, Report(4, 1), kStart);
  CHECK(SlownessOf(paces.at(kId), kStart) < 1.3);
}

TEST_CASE("what an endpoint is shows after some answers and lasts") {
  EndpointPaces paces;
  for (int i = 0; i < 100; ++i) {
    TakeSlowness(paces, Report(1.6, 1), kStart);
  }
  CHECK(SlownessOf(paces.at(kId), kStart) == Approx(1.6).margin(0.11));
  const auto later = kStart + std::chrono::seconds(30);
  CHECK(SlownessOf(paces.at(kId), later) == Approx(1.6).margin(0.11));
}

TEST_CASE("a momentary slowness shows at once and passes") {
  EndpointPaces paces;
  TakeSlowness(paces, Report(1, 100), kStart);
  TakeSlowness(paces, Report(2.5, 4), kStart);
  CHECK(SlownessOf(paces.at(kId), kStart) > 1.8);
  const auto later = kStart + std::chrono::seconds(15);
  CHECK(SlownessOf(paces.at(kId), later) < 1.4);
}

TEST_CASE("noise doesn't make an estimate flap") {
  std::mt19937 random(7);
  std::uniform_real_distribution<double> noise(0.7, 1.3);
  EndpointPaces paces;
  auto changes = 0;
  auto last = 1.0;
  for (int i = 0; i < 1000; ++i) {
    TakeSlowness(paces, Report(noise(random), 1), kStart);
    const auto now = SlownessOf(paces.at(kId), kStart);
    CHECK(std::abs(now - 1) < 0.25);
    changes += now == last ? 0 : 1;
    last = now;
  }
  CHECK(changes < 200);
}

TEST_CASE("only unusual endpoints are listed, and idle ones are forgotten") {
  EndpointPaces paces;
  TakeSlowness(paces, Report(2, 100), kStart);
  TakeSlowness(paces, {{EndpointId("f"), {100, 100}}}, kStart);
  CHECK(CollectSlowness(paces, kStart).size() == 1);
  CHECK(CollectSlowness(paces, kStart + std::chrono::minutes(2)).empty());
  CHECK(paces.empty());
}

}  // namespace
}  // namespace dotterelshed
