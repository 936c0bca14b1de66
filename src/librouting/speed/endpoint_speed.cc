#include "dotterelshed/endpoint_speed.h"

#include <algorithm>
#include <cmath>

namespace dotterelshed {

namespace {

/// Samples before a measure says what is usual.
constexpr int kMinSamples = 10;
/// Weight of a new sample in the usual time; before, the plain mean.
constexpr double kUsualWeight = 0.02;
constexpr double kMinSlowness = 0.25;
constexpr double kMaxSlowness = 4;
/// Weight of one answer in the long and in the short average.
constexpr double kLongWeight = 0.05;
constexpr double kShortWeight = 0.4;
/// Answers after which an estimate counts for half of what it says.
constexpr double kHalfTrust = 8;
/// A momentary slowness that isn't seen any more loses half of its effect in
/// this time.
constexpr Duration kShortHalfLife = std::chrono::milliseconds(1500);
/// An answer that much above the long average is momentary slowness.
constexpr double kMomentaryFactor = 1.5;
constexpr Duration kForgetAfter = std::chrono::seconds(60);
constexpr double kSteps = 10;
constexpr std::size_t kMaxReported = 64;

/// Average after @p answers of which the mean is @p sample.
auto Move(double average, double sample, double weight, std::uint32_t answers)
    -> double {
  const auto kept = std::pow(1 - weight, answers);
  return kept * average + (1 - kept) * sample;
}

}  // namespace

auto CompareToUsual(SpeedReference& reference,
                    std::string_view measure,
                    Duration time) -> double {
  auto found = reference.m_measures.find(measure);
  if (found == reference.m_measures.end()) {
    found = reference.m_measures
                .emplace(std::string(measure), SpeedReference::Measure())
                .first;
  }
  auto& usual = found->second;
  const auto seconds = ToSeconds(time);
  const auto known = usual.m_samples >= kMinSamples && usual.m_mean_s > 0;
  const auto slowness =
      known ? std::clamp(seconds / usual.m_mean_s, kMinSlowness, kMaxSlowness)
            : 1;
  usual.m_samples = std::min(usual.m_samples + 1, 1000);
  const auto weight = std::max(kUsualWeight, 1.0 / usual.m_samples);
  const auto bounded = known ? slowness * usual.m_mean_s : seconds;
  usual.m_mean_s += weight * (bounded - usual.m_mean_s);
  return slowness;
}

auto AddSlowness(SlownessReport& report,
                 const EndpointId& endpoint,
                 double slowness) -> void {
  if (report.size() >= kMaxReported && !report.contains(endpoint)) {
    return;
  }
  auto& sum = report[endpoint];
  ++sum.m_answers;
  sum.m_sum += slowness;
}

auto TakeSlowness(EndpointPaces& paces,
                  const SlownessReport& report,
                  TimePoint now) -> void {
  for (const auto& [id, sum] : report) {
    if (sum.m_answers == 0) {
      continue;
    }
    auto& pace = paces[id];
    const auto mean = sum.m_sum / sum.m_answers;
    pace.m_long = Move(pace.m_long, mean, kLongWeight, sum.m_answers);
    pace.m_short = Move(pace.m_short, mean, kShortWeight, sum.m_answers);
    pace.m_answers += sum.m_answers;
    pace.m_last = now;
  }
}

auto SlownessOf(const EndpointPace& pace, TimePoint now) -> double {
  const auto age = ToSeconds(now - pace.m_last);
  const auto fresh = std::exp2(-age / ToSeconds(kShortHalfLife));
  const auto momentary = pace.m_short > kMomentaryFactor * pace.m_long
                             ? fresh * (pace.m_short - pace.m_long)
                             : 0;
  const auto trust = pace.m_answers / (pace.m_answers + kHalfTrust);
  const auto slowness = 1 + trust * (pace.m_long + momentary - 1);
  return std::round(slowness * kSteps) / kSteps;
}

auto CollectSlowness(EndpointPaces& paces, TimePoint now) -> EndpointSlowness {
  std::erase_if(paces, [now](const auto& item) {
    return now - item.second.m_last > kForgetAfter;
  });
  EndpointSlowness slowness;
  for (const auto& [id, pace] : paces) {
    const auto value = SlownessOf(pace, now);
    if (value != 1) {
      slowness.emplace(id, value);
    }
  }
  return slowness;
}

}  // namespace dotterelshed
