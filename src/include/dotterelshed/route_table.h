#ifndef DOTTERELSHED_ROUTE_TABLE_H_
#define DOTTERELSHED_ROUTE_TABLE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelshed/account.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// One version of the routing configuration: which requests go to which
/// service, and how often an attempt may be made. Immutable once built; a newer
/// version replaces it as a whole.

namespace dotterelshed {

/// How often a call may run.
enum class CallKind {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< Runs at most once for each request of a caller.
  kStream,         ///< A turn that answers with events; may be resumable.
};

/// Stable lower-case name, for logs and metrics.
auto ToString(CallKind kind) -> std::string_view;

struct WeightedService {
  ServiceId m_service;
  int m_weight = 1;
};

struct Route {
  std::string m_name;
  std::string m_host;
  /// Begins and ends with a slash.
  std::string m_path_prefix;
  CallKind m_kind = CallKind::kNonIdempotent;
  /// Longest time that a caller waits for the answer.
  Duration m_timeout = std::chrono::seconds(5);
  /// Target services by weight; more than one while traffic is being shifted.
  std::vector<WeightedService> m_services;
  /// Number of endpoints that one request may be sent to.
  int m_max_attempts = 1;
  /// True when a broken stream may be resumed on another endpoint.
  bool m_resumable = false;
  /// True when a turn brings only its new input and the system puts the
  /// conversation's history before it.
  bool m_keeps_history = false;
  /// Time for which a program's token usage is remembered after its last turn,
  /// and its history if the system keeps it.
  Duration m_retention = std::chrono::seconds(60);
  /// Rank of its requests, unless their account has one.
  std::optional<Priority> m_priority;
  /// True when its requests need no account.
  bool m_anonymous = false;
};

/// Properties of the model engines of a service.
struct EngineTraits {
  int m_tokens_per_event = 1;
};

struct ServiceTraits {
  ServiceId m_id;
  /// Set for model engines only.
  std::optional<EngineTraits> m_engine;
};

/// Limits for the requests and connections of callers.
struct CallerLimits {
  std::uint32_t m_header_bytes = 16384;
  std::uint64_t m_body_bytes = 4194304;
  Duration m_header_timeout = std::chrono::seconds(3);
  Duration m_idle_timeout = std::chrono::seconds(15);
};

struct RouteTable {
  Generation m_generation;
  std::vector<Route> m_routes;
  std::map<ServiceId, ServiceTraits> m_services;
  CallerLimits m_limits;
  /// Client accounts; nullptr if the configuration has none, so that requests
  /// need no key.
  std::shared_ptr<const AccountTable> m_accounts;
  /// Indexes into m_routes for each lower-case host name, longest prefix first;
  /// filled by IndexRoutes.
  std::map<std::string, std::vector<std::size_t>, std::less<>> m_by_host;
};

/// Fills m_by_host; call once after the routes are complete.
auto IndexRoutes(RouteTable& table) -> void;

/// Returns the route of a request, or nullptr.
/// @param host    value of the Host field, with or without a port.
/// @param target  path and query.
auto FindRoute(const RouteTable& table,
               std::string_view host,
               std::string_view target) -> const Route*;

/// Chooses a service at random by weight. @p draw is uniform in [0, 1).
auto PickService(const Route& route, double draw) -> const ServiceId&;

/// The longest retention of all routes; zero if there is none.
auto LongestRetention(const RouteTable& table) -> Duration;

/// True if the system keeps the history of any route's conversations.
auto KeepsHistory(const RouteTable& table) -> bool;
/// True if callers may take up broken streams of any route.
auto HasResumableStreams(const RouteTable& table) -> bool;

/// Traits of a service; default values if the table doesn't have it.
auto TraitsOf(const RouteTable& table, const ServiceId& service)
    -> const ServiceTraits&;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ROUTE_TABLE_H_
