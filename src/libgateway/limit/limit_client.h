#ifndef DOTTERELSHED_LIMIT_CLIENT_H_
#define DOTTERELSHED_LIMIT_CLIENT_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "entry_context.h"
#include "lead/lead_service.h"
#include "limit/limit_messages.h"

/// @file
/// A host's side of endpoints' limits: takes note of what answers state, tells
/// the lead of its domain, and asks it for a permit before a request goes to an
/// endpoint with a limit. Without a lead's answer there is no permit.

namespace dotterelshed {

/// What the host knows of an answer when it takes note of its limit.
struct AnswerLimit {
  EndpointId m_endpoint;
  RequestId m_request;
  /// Limit that the answer states, if any.
  std::optional<double> m_stated;
  /// Time at which the request was sent.
  TimePoint m_sent_at;
};

class LimitClient {
 public:
  using Respond = std::function<void(bool permitted)>;

  LimitClient(EntryContext& context, LeadService& own_lead);

  /// Takes note of the limit that an answer states, or that it states none.
  auto NoteAnswer(const AnswerLimit& answer) -> void;
  /// Asks for a permit to send a request to the endpoint. Responds at once if
  /// this host leads, else within kAskTimeout.
  auto Ask(const EndpointId& endpoint, Respond respond) -> void;
  /// Returns the endpoints of a service for which no permit is to be had now.
  auto Exhausted(const ServiceId& service, TimePoint now) const
      -> std::set<EndpointId>;
  /// Returns the shortest time after which one of the service's endpoints may
  /// have a permit, if none is to be had for some now.
  auto ShortestWait(const ServiceId& service, TimePoint now) const
      -> std::optional<Duration>;
  /// Reports to the lead; call several times per second.
  auto Tick(TimePoint now) -> void;

 private:
  static constexpr Duration kAskTimeout = std::chrono::milliseconds(100);

  auto TakeAnswer(const EndpointId& endpoint,
                  const LimitAnswer& answer,
                  TimePoint now) -> bool;
  auto TakeStates(const std::map<EndpointId, LimitState>& states, TimePoint now)
      -> void;
  /// No permit of the service's endpoints is to be had for a while.
  auto NoteSilence(const EndpointId& endpoint, TimePoint now) -> void;
  /// Tells the lead what it hasn't been told, and asks for what it knows if
  /// this host is behind it.
  auto ReportStatements(TimePoint now) -> void;
  /// Puts statements that the lead didn't take back among the unreported ones.
  auto ReportAgain(const LimitAsk& ask) -> void;
  /// Returns true if the lead knows of limits that this host hasn't been told.
  auto IsBehindLead() const -> bool;
  auto ForgetRemoved() -> void;

  EntryContext& m_context;
  LeadService& m_own_lead;
  /// The lead has no permit for these endpoints before these moments.
  std::map<EndpointId, TimePoint> m_none_before;
  /// Endpoints of whose last statement the lead hasn't been told.
  std::set<EndpointId> m_unreported;
  TimePoint m_last_report;
  /// Lead that last told this host all limits, and its number of changes then.
  ResourceVersion m_synced_lead;
  std::int64_t m_synced_changes = 0;
  TimePoint m_last_sweep;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LIMIT_CLIENT_H_
