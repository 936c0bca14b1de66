#ifndef DOTTERELSHED_BACKEND_CLIENT_H_
#define DOTTERELSHED_BACKEND_CLIENT_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelshed/call.h"
#include "dotterelshed/desk_config.h"
#include "dotterelshed/endpoint_types.h"
#include "dotterelshed/error.h"
#include "dotterelshed/turn_messages.h"

/// @file
/// Clients of model engines and plain services. Functions block; the daemon
/// gives each attempt a thread.

namespace dotterelshed {

/// One attempt to run a call on one endpoint.
struct AttemptSpec {
  AttemptId m_attempt;
  EndpointConfig m_endpoint;
  ServiceKind m_kind = ServiceKind::kModel;
  /// Path below the endpoint, for plain services.
  std::string m_path;
  std::string m_body;
  /// Set for calls that must run at most once; sent as Idempotency-Key.
  std::optional<IdempotencyKey> m_key;
  /// Fencing number, sent if the service checks it.
  std::optional<Term> m_fence;
  /// Program that the engine accounts kept memory to; empty for none.
  ProgramId m_program;
  /// Order among what the engine runs and queues; lower goes first.
  int m_priority = 0;
  /// Prefix that the engine keeps after the call; empty for none.
  HoldId m_hold;
  Duration m_timeout{0};
  /// Longest silence before the connection is given up and the stream is
  /// resumed on a new one.
  Duration m_progress_timeout{0};
};

/// How a running attempt is watched and stopped.
struct AttemptObserver {
  /// New generated text and the number of tokens so far. Bytes come in order,
  /// each once, across resumed connections.
  std::function<void(std::string_view text, Tokens generated)> m_on_text;
  /// Set by another thread to stop the attempt.
  const std::atomic<bool>* m_cancelled = nullptr;
};

/// Runs one attempt to its end. Never reports an end of the "can't have run"
/// group unless no byte of the request reached the endpoint or the endpoint
/// itself said that it did not run.
auto RunAttempt(const AttemptSpec& spec, const AttemptObserver& observer)
    -> AttemptResult;

/// Stops generation and frees its memory. Safe to repeat.
auto CancelStream(const EndpointConfig& endpoint, const AttemptId& attempt)
    -> Status;

auto ReadLoad(const EndpointConfig& endpoint) -> Result<LoadReport>;

/// Cache events and the position to ask from next.
struct CacheEvents {
  CacheReport m_report;
  std::int64_t m_next = 0;
};
auto ReadCacheEvents(const EndpointConfig& endpoint, std::int64_t since)
    -> Result<CacheEvents>;

/// Frees kept prefix memory. Success also when it was not held any more.
auto ReleaseEngineHold(const EndpointConfig& endpoint, const HoldId& hold)
    -> Status;

auto ListEngineHolds(const EndpointConfig& endpoint)
    -> Result<std::vector<HoldRecord>>;

/// Gives an order. Errors: kForbidden when the fencing number is too old.
auto SendEngineOrder(const EndpointConfig& endpoint, const EndpointOrder& order)
    -> Status;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_BACKEND_CLIENT_H_
