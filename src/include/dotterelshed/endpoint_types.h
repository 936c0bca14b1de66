#ifndef DOTTERELSHED_ENDPOINT_TYPES_H_
#define DOTTERELSHED_ENDPOINT_TYPES_H_

#include <string>
#include <string_view>
#include <vector>

#include "dotterelshed/call.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// What is known of an endpoint and of an attempt that ran on it.

namespace dotterelshed {

/// How an attempt ended. The first group can't have had an effect.
enum class AttemptEnd {
  kRefused,    ///< Connection refused or not sent; it did not run.
  kLeaving,    ///< The endpoint takes no new work; it did not run.
  kFenced,     ///< The endpoint refused our fencing number; it did not run.
  kCompleted,  ///< A whole answer came.
  kRejected,   ///< The endpoint answered 4xx.
  kErrored,    ///< The endpoint answered 5xx.
  kLost,       ///< The connection broke after sending; may have run.
  kTimedOut,   ///< No answer in time; may have run.
  kCancelled,  ///< We stopped it; may have run.
};

/// Stable lower-case name.
auto ToString(AttemptEnd end) -> std::string_view;

/// True when an attempt with this end can't have had an effect.
auto CannotHaveRun(AttemptEnd end) -> bool;

struct AttemptResult {
  AttemptEnd m_end = AttemptEnd::kLost;
  int m_http_status = 0;
  std::string m_body;
  std::string m_message;
  Usage m_usage;
};

/// An engine's own word on its load; old by the time it arrives.
struct LoadReport {
  EndpointId m_endpoint;
  int m_running = 0;
  int m_waiting = 0;
  Tokens m_kv_used;
  Tokens m_kv_capacity;
  std::vector<ModelId> m_models;
  bool m_leaving = false;
};

/// Cache events of an engine since the last poll.
struct CacheReport {
  EndpointId m_endpoint;
  /// True when events between the last poll and this one were lost.
  bool m_gap = false;
  std::vector<HoldId> m_evicted;
};

enum class OrderKind {
  kLoadModel,
  kUnloadModel,
  kSetRole,
  kExportKv,
  kImportKv,
};

/// An order to an engine. Safe to repeat.
struct EndpointOrder {
  OrderKind m_kind = OrderKind::kLoadModel;
  ModelId m_model;
  std::string m_version;
  HoldId m_hold;
  /// Fencing number; endpoints that check it refuse an older one.
  Term m_fence;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ENDPOINT_TYPES_H_
