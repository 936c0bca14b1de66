#include "dotterelshed/metrics.h"

#include <boost/histogram.hpp>
#include <cstdio>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "dotterelshed/error.h"

namespace dotterelshed {

namespace {

namespace histogram = boost::histogram;

/// Bounds of the latency buckets in seconds.
auto BucketBounds() -> const std::vector<double>& {
  static const std::vector<double> kBounds{
      0.00001, 0.0001, 0.00025, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
      0.1,     0.2,    0.5,     1.0,    2.0,   5.0,   10.0,  30.0, 60.0, 300.0};
  return kBounds;
}

auto MakeHistogram() {
  auto edges = std::vector<double>{0.0};
  edges.insert(edges.end(), BucketBounds().begin(), BucketBounds().end());
  return histogram::make_histogram(histogram::axis::variable<>(edges));
}

using Latencies = decltype(MakeHistogram());

/// One metric's values for one label value.
struct Series {
  double m_value = 0;
  double m_sum_seconds = 0;
  std::int64_t m_count = 0;
  std::optional<Latencies> m_latencies;
};

struct Registry {
  std::mutex m_mutex;
  std::vector<std::map<std::string, Series, std::less<>>> m_series{
      MetricCatalogue().size()};
};

auto GetRegistry() -> Registry& {
  static Registry registry;
  return registry;
}

auto InfoOf(MetricId id) -> const MetricInfo& {
  return MetricCatalogue()[static_cast<std::size_t>(id)];
}

/// The series of a label value; the caller holds the registry's mutex.
auto FindSeries(Registry& registry, MetricId id, std::string_view label)
    -> Series& {
  auto& all = registry.m_series[static_cast<std::size_t>(id)];
  const auto found = all.find(label);
  if (found != all.end()) {
    return found->second;
  }
  const auto full = static_cast<int>(all.size()) >= kMaxMetricLabels;
  return all[full ? std::string("other") : std::string(label)];
}

auto EscapeLabel(std::string_view value) -> std::string {
  std::string result;
  for (const auto letter : value) {
    if (letter == '"' || letter == '\\') {
      result += '\\';
    }
    result += letter == '\n' ? ' ' : letter;
  }
  return result;
}

/// "name" or name="value", with @p more behind it, in braces if not empty.
auto FormatLabels(const MetricInfo& info,
                  const std::string& label,
                  const std::string& more = "") -> std::string {
  std::string inside;
  if (!info.m_label.empty()) {
    inside = std::string(info.m_label) + "=\"" + EscapeLabel(label) + "\"";
  }
  if (!more.empty()) {
    inside += (inside.empty() ? "" : ",") + more;
  }
  return inside.empty() ? "" : "{" + inside + "}";
}

auto FormatNumber(double value) -> std::string {
  constexpr auto kBufferSize = 40;
  std::array<char, kBufferSize> buffer{};
  const auto length =
      std::snprintf(buffer.data(), buffer.size(), "%.12g", value);
  return std::string(buffer.data(), static_cast<std::size_t>(length));
}

auto FormatBuckets(const MetricInfo& info,
                   const std::string& label,
                   const Series& series) -> std::string {
  const auto name = std::string(info.m_name);
  std::string text;
  auto below = 0.0;
  for (auto i = std::size_t{0}; i < BucketBounds().size(); ++i) {
    below += series.m_latencies->at(static_cast<int>(i));
    const auto bound = "le=\"" + FormatNumber(BucketBounds()[i]) + "\"";
    text += name + "_bucket" + FormatLabels(info, label, bound) + " " +
            FormatNumber(below) + "\n";
  }
  const auto count = std::to_string(series.m_count);
  text += name + "_bucket" + FormatLabels(info, label, "le=\"+Inf\"") + " " +
          count + "\n";
  text += name + "_sum" + FormatLabels(info, label) + " " +
          FormatNumber(series.m_sum_seconds) + "\n";
  return text + name + "_count" + FormatLabels(info, label) + " " + count +
         "\n";
}

auto FormatSeries(const MetricInfo& info,
                  const std::string& label,
                  const Series& series) -> std::string {
  if (series.m_latencies) {
    return FormatBuckets(info, label, series);
  }
  return std::string(info.m_name) + FormatLabels(info, label) + " " +
         FormatNumber(series.m_value) + "\n";
}

}  // namespace

auto CountMetric(MetricId id, std::string_view label, std::int64_t amount)
    -> void {
  DOTTERELSHED_CHECK(InfoOf(id).m_kind == MetricKind::kCounter);
  auto& registry = GetRegistry();
  const std::lock_guard lock(registry.m_mutex);
  FindSeries(registry, id, label).m_value += static_cast<double>(amount);
}

auto SetMetric(MetricId id, double value, std::string_view label) -> void {
  DOTTERELSHED_CHECK(InfoOf(id).m_kind == MetricKind::kGauge);
  auto& registry = GetRegistry();
  const std::lock_guard lock(registry.m_mutex);
  FindSeries(registry, id, label).m_value = value;
}

auto ObserveMetric(MetricId id, std::string_view label, Duration duration)
    -> void {
  DOTTERELSHED_CHECK(InfoOf(id).m_kind == MetricKind::kHistogram);
  const auto seconds = ToSeconds(duration);
  auto& registry = GetRegistry();
  const std::lock_guard lock(registry.m_mutex);
  auto& series = FindSeries(registry, id, label);
  if (!series.m_latencies) {
    series.m_latencies = MakeHistogram();
  }
  (*series.m_latencies)(seconds);
  series.m_sum_seconds += seconds;
  ++series.m_count;
}

auto FormatMetrics() -> std::string {
  auto& registry = GetRegistry();
  const std::lock_guard lock(registry.m_mutex);
  std::string text;
  for (const auto& info : MetricCatalogue()) {
    const auto& all = registry.m_series[static_cast<std::size_t>(info.m_id)];
    if (all.empty()) {
      continue;
    }
    const auto name = std::string(info.m_name);
    text += "# HELP " + name + " " + std::string(info.m_help) + "\n";
    text += "# TYPE " + name + " " + std::string(ToString(info.m_kind)) + "\n";
    for (const auto& [label, series] : all) {
      text += FormatSeries(info, label, series);
    }
  }
  return text;
}

auto ResetMetrics() -> void {
  auto& registry = GetRegistry();
  const std::lock_guard lock(registry.m_mutex);
  for (auto& all : registry.m_series) {
    all.clear();
  }
}

}  // namespace dotterelshed
