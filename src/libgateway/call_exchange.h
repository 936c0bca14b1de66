#ifndef DOTTERELSHED_CALL_EXCHANGE_H_
#define DOTTERELSHED_CALL_EXCHANGE_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "call_crash_tracker.h"
#include "dotterelshed/http_client.h"
#include "dotterelshed/http_listener.h"
#include "dotterelshed/route_table.h"
#include "entry_context.h"
#include "event_splitter.h"
#include "grant_client.h"
#include "platform/call_headers.h"

/// @file
/// One request of a caller, from its arrival to the end of its answer: grant,
/// attempts at endpoints, and the answer passed on as it comes.
///
/// Whether it may be sent again depends on what is known of the attempts
/// before: one that can't have run may be repeated anywhere, one that may have
/// run only if the route's kind allows it.

namespace dotterelshed {

class CallExchange : public std::enable_shared_from_this<CallExchange> {
 public:
  using Completed = std::function<void(const std::shared_ptr<CallExchange>&)>;

  /// @param route  of the configuration that is in force.
  CallExchange(EntryContext& context,
               GrantClient& grants,
               std::shared_ptr<ServerConnection> caller,
               IncomingRequest request,
               const Route& route,
               Completed ended);

  auto Start() -> void;
  /// Ends the request when its time is over; call several times a second.
  auto Tick(TimePoint now) -> void;

 private:
  /// What the current attempt has brought so far.
  struct Attempt {
    EndpointId m_endpoint;
    std::string m_address;
    std::shared_ptr<ClientConnection> m_connection;
    TimePoint m_sent_at;
    ResponseHead m_head;
    EndpointAnswerHeaders m_facts;
    bool m_sent = false;
    bool m_response_started = false;
    /// No earlier attempt may have run at this endpoint.
    bool m_first_at_endpoint = false;
    /// An earlier attempt may have run, anywhere.
    bool m_may_have_run_before = false;
    /// The answer isn't passed on; the request is sent elsewhere.
    bool m_discard_response = false;
    /// The answer goes on with one that broke off.
    bool m_resumes_stream = false;
  };

  auto IsTurn() const -> bool;
  auto IsRetryable() const -> bool;
  auto RequestTurnGrant() -> void;
  auto OnTurnGrant(const TurnGrantResponse& answer) -> void;
  auto StartNextAttempt() -> void;
  auto PickEndpoint() -> std::optional<EndpointId>;
  auto OnConnection(int attempt, std::shared_ptr<ClientConnection> connection)
      -> void;
  auto SendAttempt() -> void;
  auto OnHead(ResponseHead& head) -> HeadVerdict;
  auto BeginForwarding() -> void;
  auto OnBody(std::string_view bytes) -> void;
  auto ForwardEvents() -> void;
  auto OnResponseComplete() -> void;
  auto OnFailure(ExchangeFailure failure) -> void;
  auto HandleLostAttempt(std::string_view reason) -> void;
  auto HandleNotExecuted(std::string_view reason) -> void;
  auto ResponseTimeout() const -> Duration;
  auto RetryIfNoResponse(TimePoint now) -> void;
  auto EndAttempt() -> void;
  /// Refuses a quarantined call. Returns false if it did.
  auto CheckQuarantine() -> bool;
  /// Tells the ledger that the attempt under way got no whole answer.
  auto ReportLostAttempt(CrashEvidence evidence) -> void;
  auto LogAttempt(std::string_view reason, bool may_have_run) -> void;
  /// @param retry_after  tells the caller when to come back.
  auto RespondLocally(int status,
                      std::string_view reason,
                      std::optional<Duration> retry_after = std::nullopt)
      -> void;
  /// Answers that no endpoint gets the call, as what is known of its attempts
  /// allows.
  auto RespondUnserved(std::string_view reason, Duration retry_after) -> void;
  auto AbortResponse(std::string_view reason) -> void;
  auto OnCallerDisconnected() -> void;
  auto Finish(int status, std::string_view reason) -> void;

  EntryContext& m_context;
  GrantClient& m_grants;
  std::shared_ptr<ServerConnection> m_caller;
  IncomingRequest m_request;
  /// The configuration that the request began with, and its route there.
  std::shared_ptr<const RouteTable> m_routes;
  const Route& m_route;
  ServiceId m_service;
  int m_tokens_per_event = 1;
  Completed m_completed;
  CallHeaders m_facts;
  CallCrashTracker m_crash_tracker;
  TimePoint m_started_at;
  TimePoint m_deadline;

  Attempt m_attempt;
  int m_attempts = 0;
  /// Endpoints that refused or couldn't be reached.
  std::set<EndpointId> m_excluded;
  /// Endpoints that may have run the request.
  std::set<EndpointId> m_may_have_run_on;
  /// Where the next attempt goes, if that is decided already.
  EndpointId m_next_endpoint;
  EventSplitter m_events;
  /// Content type of the answer that is passed on.
  std::string m_forwarded_content_type;
  std::optional<std::int64_t> m_last_event_id;
  std::int64_t m_events_forwarded = 0;
  /// What the lead granted, of a turn: an endpoint may generate more.
  std::optional<Tokens> m_granted_tokens;
  Duration m_time_to_first_byte{0};
  bool m_retried_without_response = false;
  bool m_must_settle = false;
  /// An endpoint may have run it.
  bool m_may_have_run = false;
  bool m_forwarding = false;
  bool m_is_event_stream = false;
  bool m_finished = false;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CALL_EXCHANGE_H_
