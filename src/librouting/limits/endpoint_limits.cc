#include "dotterelshed/endpoint_limits.h"

#include <utility>

namespace dotterelshed {

auto NoteAnswerLimit(LimitStatements& statements,
                     const EndpointId& endpoint,
                     std::optional<double> stated,
                     TimePoint sent_at,
                     TimePoint now) -> bool {
  const auto known = LimitOf(statements, endpoint);
  if (stated) {
    statements[endpoint] = {.m_per_second = stated, .m_as_of = now};
    return known != stated;
  }
  if (!known || sent_at <= statements[endpoint].m_as_of) {
    return false;
  }
  statements[endpoint] = {.m_as_of = sent_at};
  return true;
}

auto MergeStatement(LimitStatements& statements,
                    const EndpointId& endpoint,
                    const LimitStatement& other) -> bool {
  const auto [found, added] = statements.try_emplace(endpoint, other);
  if (added) {
    return other.m_per_second.has_value();
  }
  if (other.m_as_of <= found->second.m_as_of) {
    return false;
  }
  const auto before = std::exchange(found->second, other).m_per_second;
  return before != other.m_per_second;
}

auto LimitOf(const LimitStatements& statements, const EndpointId& endpoint)
    -> std::optional<double> {
  const auto found = statements.find(endpoint);
  return found == statements.end() ? std::nullopt : found->second.m_per_second;
}

}  // namespace dotterelshed
