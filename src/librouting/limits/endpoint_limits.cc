#include "dotterelshed/endpoint_limits.h"

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

auto LimitOf(const LimitStatements& statements, const EndpointId& endpoint)
    -> std::optional<double> {
  const auto found = statements.find(endpoint);
  return found == statements.end() ? std::nullopt : found->second.m_per_second;
}

}  // namespace dotterelshed
