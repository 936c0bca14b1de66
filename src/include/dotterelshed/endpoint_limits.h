#ifndef DOTTERELSHED_ENDPOINT_LIMITS_H_
#define DOTTERELSHED_ENDPOINT_LIMITS_H_

#include <map>
#include <optional>

#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// Limits that endpoints in need state in their answers: the requests a second
/// that one takes from all hosts together, for as long as it says so. See
/// docs/design/endpoint-limits.md.

namespace dotterelshed {

/// What an endpoint last said of its limit, as far as one host knows.
struct LimitStatement {
  /// Requests a second; nothing once it has stated no limit any more.
  std::optional<double> m_per_second;
  /// A statement with a later time replaces this one.
  TimePoint m_as_of;
};

/// Statements by endpoint. An endpoint that never stated a limit has none.
using LimitStatements = std::map<EndpointId, LimitStatement>;

/// An answer of an endpoint began to arrive at @p now.
/// @param stated   Limit in the answer, if any.
/// @param sent_at  Time at which the request was sent. An answer without a
///   limit ends one only if the request was sent after that was stated.
/// Returns true if the endpoint's limit is another one than before.
auto NoteAnswerLimit(LimitStatements& statements,
                     const EndpointId& endpoint,
                     std::optional<double> stated,
                     TimePoint sent_at,
                     TimePoint now) -> bool;

/// Takes over what another host knows; the later statement holds. Returns true
/// if the endpoint's limit is another one than before.
auto MergeStatement(LimitStatements& statements,
                    const EndpointId& endpoint,
                    const LimitStatement& other) -> bool;

/// Returns the endpoint's limit, or nothing if none is known.
auto LimitOf(const LimitStatements& statements, const EndpointId& endpoint)
    -> std::optional<double>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ENDPOINT_LIMITS_H_
