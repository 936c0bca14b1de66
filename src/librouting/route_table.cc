#include "dotterelshed/route_table.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace dotterelshed {

namespace {

/// Lower-case host name without its port.
auto HostName(std::string_view host) -> std::string {
  auto name = std::string(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return name;
}

}  // namespace

auto ToString(CallKind kind) -> std::string_view {
  switch (kind) {
    case CallKind::kIdempotent:
      return "idempotent";
    case CallKind::kNonIdempotent:
      return "non_idempotent";
    case CallKind::kStream:
      return "stream";
  }
  return "non_idempotent";
}

auto IndexRoutes(RouteTable& table) -> void {
  table.m_by_host.clear();
  for (std::size_t i = 0; i < table.m_routes.size(); ++i) {
    table.m_by_host[HostName(table.m_routes[i].m_host)].push_back(i);
  }
  for (auto& [host, indexes] : table.m_by_host) {
    std::stable_sort(indexes.begin(), indexes.end(),
                     [&table](std::size_t a, std::size_t b) {
                       return table.m_routes[a].m_path_prefix.size() >
                              table.m_routes[b].m_path_prefix.size();
                     });
  }
}

auto FindRoute(const RouteTable& table,
               std::string_view host,
               std::string_view target) -> const Route* {
  const auto found = table.m_by_host.find(HostName(host));
  if (found == table.m_by_host.end()) {
    return nullptr;
  }
  const auto path = target.substr(0, target.find('?'));
  for (const auto index : found->second) {
    if (path.starts_with(table.m_routes[index].m_path_prefix)) {
      return &table.m_routes[index];
    }
  }
  return nullptr;
}

auto PickService(const Route& route, double draw) -> const ServiceId& {
  const auto total = std::accumulate(
      route.m_services.begin(), route.m_services.end(), 0,
      [](int sum, const WeightedService& one) { return sum + one.m_weight; });
  auto left = draw * total;
  for (const auto& one : route.m_services) {
    left -= one.m_weight;
    if (left < 0) {
      return one.m_service;
    }
  }
  return route.m_services.back().m_service;
}

auto LongestRetention(const RouteTable& table) -> Duration {
  Duration longest{0};
  for (const auto& route : table.m_routes) {
    longest = std::max(longest, route.m_retention);
  }
  return longest;
}

auto KeepsHistory(const RouteTable& table) -> bool {
  return std::any_of(table.m_routes.begin(), table.m_routes.end(),
                     [](const Route& route) { return route.m_keeps_history; });
}

auto HasResumableStreams(const RouteTable& table) -> bool {
  return std::any_of(table.m_routes.begin(), table.m_routes.end(),
                     [](const Route& route) { return route.m_resumable; });
}

auto TraitsOf(const RouteTable& table, const ServiceId& service)
    -> const ServiceTraits& {
  static const ServiceTraits kUnknown;
  const auto found = table.m_services.find(service);
  return found == table.m_services.end() ? kUnknown : found->second;
}

}  // namespace dotterelshed
