#ifndef DOTTERELSHED_CALL_EXCHANGE_H_
#define DOTTERELSHED_CALL_EXCHANGE_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "call/call_access.h"
#include "call/call_crash_tracker.h"
#include "call/event_splitter.h"
#include "dotterelshed/http_client.h"
#include "dotterelshed/http_listener.h"
#include "dotterelshed/route_table.h"
#include "entry_context.h"
#include "history/history_client.h"
#include "lead/grant_client.h"
#include "limit/limit_client.h"
#include "platform/call_headers.h"
#include "quota/quota_client.h"
#include "stream/stream_origin_client.h"

/// @file
/// Handles one client request from its arrival to the end of the response:
/// token grant, attempts at endpoints and streaming of the response.
///
/// Whether a request may be sent again depends on the previous attempts. A
/// request that certainly was not executed may be sent to any endpoint; one
/// that may have been executed is repeated only if the kind of its route allows
/// it.

namespace dotterelshed {

class CallExchange : public std::enable_shared_from_this<CallExchange> {
 public:
  using Completed = std::function<void(const std::shared_ptr<CallExchange>&)>;

  /// @param route  Route in the active configuration.
  CallExchange(EntryContext& context,
               GrantClient& grants,
               LimitClient& limits,
               HistoryClient& history,
               StreamOriginClient& stream_origins,
               QuotaClient& quotas,
               std::shared_ptr<ServerConnection> caller,
               IncomingRequest request,
               const Route& route,
               Completed completed);

  auto Start() -> void;
  /// Enforces the deadline and the response timeout; call several times per
  /// second.
  auto Tick(TimePoint now) -> void;
  /// Responds with an error unless the response has started. To be called
  /// shortly before the process exits.
  auto RespondBeforeShutdown() -> void;
  /// Aborts the response and logs that; to be called when the process exits.
  auto AbortForShutdown() -> void;

 private:
  static constexpr Duration kRetryAfter = std::chrono::milliseconds(150);
  /// Turns are kept somewhat longer than the route says, so that one that is
  /// continued at the last moment is still there.
  static constexpr Duration kLifetimeMargin = std::chrono::seconds(10);
  /// Response timeout of streams; clients abandon a stream that is silent for
  /// two seconds.
  static constexpr Duration kStreamResponseTimeout =
      std::chrono::milliseconds(1300);

  /// Leave of the domain's lead to send the request to an endpoint that states
  /// a limit.
  struct Permit {
    EndpointId m_endpoint;
    /// The request must be sent before.
    TimePoint m_until;
  };

  /// State of the current attempt.
  struct Attempt {
    EndpointId m_endpoint;
    std::string m_address;
    SoftwareVersion m_software;
    std::shared_ptr<ClientConnection> m_connection;
    TimePoint m_sent_at;
    /// When the endpoint last sent something; before that, m_sent_at.
    TimePoint m_heard_at;
    /// First and last event of the response, if any.
    TimePoint m_first_event_at;
    TimePoint m_last_event_at;
    int m_events = 0;
    ResponseHead m_head;
    EndpointAnswerHeaders m_headers;
    bool m_sent = false;
    bool m_response_started = false;
    /// No earlier attempt was possibly executed at this endpoint.
    bool m_first_at_endpoint = false;
    /// An earlier attempt, at any endpoint, was possibly executed.
    bool m_may_have_run_before = false;
    /// The response is not forwarded; the request is retried instead.
    bool m_discard_response = false;
    /// The response continues a stream that was interrupted.
    bool m_resumes_stream = false;
  };

  /// Asks for a token of the account's quota, and goes on with BeginWork.
  auto RequestQuota(const AccountId& account) -> void;
  auto OnQuotaDecision(const QuotaDecision& decision) -> void;
  /// Returns the token if no endpoint got the request.
  auto GiveBackQuota() -> void;
  /// First step of a request that may run.
  auto BeginWork() -> void;
  auto IsTurn() const -> bool;
  auto IsRetryable() const -> bool;
  /// Returns true if the system keeps the conversation's history.
  auto KeepsHistory() const -> bool;
  /// Refuses a request whose key doesn't let it in. Returns false if it was
  /// refused.
  auto CheckAccess() -> bool;
  /// Refuses a request whose key was withdrawn while it waited. Returns false
  /// if it was refused.
  auto CheckAccessAgain() -> bool;
  auto RespondKeyRequired(AccessOutcome outcome) -> void;
  /// Returns true if the request takes up a stream that has begun.
  auto TakesUpStream() const -> bool;
  /// Finds the software version that began the stream.
  auto FindStreamOrigin() -> void;
  auto OnStreamOrigin(const std::optional<SoftwareVersion>& software) -> void;
  /// Keeps the stream at the version of the current attempt from now on.
  auto NoteStreamBegun() -> void;
  auto ReadHistory() -> void;
  auto OnHistory(const HistoryReadResult& result) -> void;
  /// Obtains what the first attempt needs beside the history, and starts it.
  auto BeginAttempts() -> void;
  /// Stores the completed turn; the response ends when that is done.
  auto StoreTurn() -> void;
  auto OnTurnStored() -> void;
  auto EndResponse() -> void;
  auto RequestTurnGrant() -> void;
  auto OnTurnGrant(const TurnGrantResponse& response) -> void;
  auto StartNextAttempt() -> void;
  /// Returns false if as many other endpoints as the route permits may have run
  /// the request.
  auto PermitsAttemptAt(const EndpointId& endpoint) const -> bool;
  auto PickEndpoint() -> std::optional<EndpointId>;
  /// Returns true if the endpoint that the lead or an earlier attempt named may
  /// be used.
  auto MayUse(const EndpointEntry& entry,
              const std::set<EndpointId>& avoided) const -> bool;
  /// Endpoints that may not be chosen: those that were tried, and those whose
  /// limit leaves no room now.
  auto ExcludedEndpoints(TimePoint now) const -> std::set<EndpointId>;
  /// Returns true if the endpoint has no limit or the request has its permit.
  auto MaySendTo(const EndpointId& endpoint, TimePoint now) const -> bool;
  /// Asks the lead, and goes on with another endpoint if it has no permit.
  auto RequestPermit(const EndpointId& endpoint) -> void;
  /// Refuses a request for which there is no endpoint.
  auto RespondNoEndpoint(TimePoint now) -> void;
  /// Refuses a request for which endpoints' limits leave no room for @p wait.
  auto RespondLimited(Duration wait) -> void;
  /// Name of this host if it keeps to a subset of endpoints, else empty.
  auto SubsetHost() const -> HostId;
  /// Adds the outcome of the current attempt to the judgement of its endpoint.
  auto JudgeAttempt(EndpointOutcome outcome) -> void;
  /// Adds what a whole response showed of the endpoint's speed.
  auto NoteResponseSpeed() -> void;
  auto OnConnection(int attempt, std::shared_ptr<ClientConnection> connection)
      -> void;
  auto SendAttempt() -> void;
  auto OnHead(ResponseHead& head) -> HeadVerdict;
  /// Returns true if the current response must not reach the caller, since
  /// another attempt follows or since it can't continue a stream.
  auto MustDiscardResponse() const -> bool;
  auto BeginForwarding() -> void;
  auto OnBody(std::string_view bytes) -> void;
  auto ForwardEvents() -> void;
  auto OnResponseComplete() -> void;
  auto OnFailure(ExchangeFailure failure) -> void;
  auto HandleLostAttempt(std::string_view reason) -> void;
  auto HandleNotExecuted(std::string_view reason) -> void;
  auto ResponseTimeout() const -> Duration;
  auto RetryIfNoResponse(TimePoint now) -> void;
  /// Gives up a retryable attempt on a connection that hangs since this host
  /// lost its links to endpoints.
  auto RetryIfLinkLost(TimePoint now) -> void;
  /// The endpoint of the attempt sent something.
  auto NoteBytes() -> void;
  auto ProbeSilentEndpoint() -> void;
  auto RetryAfterSilence() -> void;
  auto EndAttempt() -> void;
  /// Rejects the request if it is quarantined. Returns false if it was
  /// rejected.
  auto CheckQuarantine() -> bool;
  /// Records in the crash ledger that the current attempt got no complete
  /// response.
  auto ReportLostAttempt(CrashEvidence evidence) -> void;
  auto LogAttempt(std::string_view reason, bool may_have_run) -> void;
  /// @param retry_after  Value of the Retry-After field, if any.
  auto RespondLocally(int status,
                      std::string_view reason,
                      std::optional<Duration> retry_after = std::nullopt)
      -> void;
  /// @param fields  fields of the response.
  auto RespondWith(int status,
                   std::string_view reason,
                   HttpFields fields,
                   std::string_view body) -> void;
  /// Ends the current attempt and responds with an error: 504 if the request
  /// may have been executed, else 503.
  auto GiveUp(std::string_view reason) -> void;
  /// Responds with an error when no further attempt is made: 502 if an earlier
  /// attempt may have been executed, else 503 with Retry-After.
  auto RespondUnserved(std::string_view reason, Duration retry_after) -> void;
  auto AbortResponse(std::string_view reason) -> void;
  auto OnCallerDisconnected() -> void;
  auto Finish(int status, std::string_view reason) -> void;

  EntryContext& m_context;
  GrantClient& m_grants;
  LimitClient& m_limits;
  HistoryClient& m_history;
  StreamOriginClient& m_stream_origins;
  QuotaClient& m_quotas;
  std::shared_ptr<ServerConnection> m_caller;
  IncomingRequest m_request;
  /// Configuration at the arrival of the request; keeps m_route alive.
  std::shared_ptr<const RouteTable> m_routes;
  const Route& m_route;
  ServiceId m_service;
  int m_tokens_per_event = 1;
  Completed m_completed;
  CallHeaders m_headers;
  /// Decision on the request's key at its arrival.
  AccessDecision m_access;
  /// Account that the request runs for; nothing without accounts or for an
  /// anonymous request.
  std::optional<AccountId> m_account;
  StoredIds m_ids;
  CallCrashTracker m_crash_tracker;
  TimePoint m_started_at;
  TimePoint m_deadline;

  /// End of the lease of the request's token, if its account has a quota.
  std::optional<TimePoint> m_quota_token;
  Attempt m_attempt;
  int m_attempts = 0;
  /// Endpoints that are not used again for this request.
  std::set<EndpointId> m_excluded;
  /// Endpoints that may have executed the request.
  std::set<EndpointId> m_may_have_run_on;
  /// Endpoint of the next attempt, if already chosen.
  EndpointId m_next_endpoint;
  std::optional<Permit> m_permit;
  /// The lead made this turn the probe of an endpoint that is out of use.
  bool m_is_probe = false;
  EventSplitter m_events;
  /// Turns that this one continues from, which precede its input.
  HistoryText m_previous_text;
  /// What this turn adds to the history: its input and the data of its events.
  std::string m_turn_text;
  /// Size of the events of a turn whose history is kept.
  std::size_t m_turn_bytes = 0;
  /// The turn was sent to the replicas, and its response has not ended yet.
  bool m_storing = false;
  /// Content type of the forwarded response.
  std::string m_forwarded_content_type;
  std::optional<std::int64_t> m_last_event_id;
  /// Software version that began the stream, here or for an earlier attempt of
  /// the caller; only endpoints of it may go on. Empty before that.
  SoftwareVersion m_software;
  std::int64_t m_events_forwarded = 0;
  /// Tokens granted by the lead for a turn. An endpoint may generate more, so
  /// the stream is cut at this limit.
  std::optional<Tokens> m_granted_tokens;
  int m_response_status = 0;
  Duration m_time_to_first_byte{0};
  bool m_retried_without_response = false;
  bool m_must_settle = false;
  /// An endpoint may have executed the request.
  bool m_may_have_run = false;
  bool m_forwarding = false;
  bool m_is_event_stream = false;
  bool m_finished = false;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CALL_EXCHANGE_H_
