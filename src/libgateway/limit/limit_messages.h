#ifndef DOTTERELSHED_LIMIT_MESSAGES_H_
#define DOTTERELSHED_LIMIT_MESSAGES_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "dotterelshed/endpoint_limits.h"
#include "dotterelshed/error.h"
#include "dotterelshed/units.h"

/// @file
/// Messages between a host and the lead of its domain about endpoints that
/// state limits. Times are sent as ages. Bodies are JSON.

namespace dotterelshed {

/// Tells a lead what endpoints said, and may ask it for a permit.
struct LimitAsk {
  /// Endpoint that a request is to be sent to; empty if none is.
  EndpointId m_endpoint;
  LimitStatements m_statements;
  /// The sender wants all that the lead knows.
  bool m_all = false;
  /// The sender leads another domain and tells all leads.
  bool m_from_lead = false;
};

/// What a lead says of one endpoint.
struct LimitState {
  LimitStatement m_statement;
  /// Time until the lead has a permit again.
  Duration m_wait{0};
};

struct LimitAnswer {
  /// The receiver leads its domain, so that the other members are valid.
  bool m_leads = false;
  /// The request may be sent within kPermitTime of the question.
  bool m_permitted = false;
  /// Endpoints that have stated a limit: all if the sender wants that, else
  /// those of the service of the one that was asked for.
  std::map<EndpointId, LimitState> m_states;
};

/// @param now  Time from which ages are counted; on decoding, the time at which
///   the message came.
auto EncodeLimitAsk(const LimitAsk& ask, TimePoint now) -> std::string;
auto DecodeLimitAsk(std::string_view text, TimePoint now) -> Result<LimitAsk>;
auto EncodeLimitAnswer(const LimitAnswer& answer, TimePoint now) -> std::string;
auto DecodeLimitAnswer(std::string_view text, TimePoint now)
    -> Result<LimitAnswer>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LIMIT_MESSAGES_H_
