#include "promises.h"

namespace dotterelshed::soak {

namespace {

constexpr int kTokensPerEvent = 3;
constexpr int kStatusBudgetSpent = 402;

auto IsSuccess(int status) -> bool {
  return status >= 200 && status < 300;
}

/// Statuses that promise that the request hasn't run and won't.
auto IsPromise(int status) -> bool {
  return status == kStatusBudgetSpent || status == 408 || status == 421 ||
         status == 429 || status == 503;
}

}  // namespace

auto Promises::OnRun(const std::string& id) -> void {
  const auto sent = m_sent.find(id);
  if (sent == m_sent.end()) {
    Break("run of a request that nobody sent: " + id);
    return;
  }
  const auto runs = ++m_runs[id];
  if (sent->second.m_kind == CallKind::kUnsafe && runs > 1) {
    Break("non-idempotent request ran twice: " + id);
  }
  if (m_refused.contains(id)) {
    Break("request ran after a refusal: " + id);
  }
}

auto Promises::OnResult(const std::string& id,
                        const CallResult& result,
                        const std::string& right_body) -> void {
  const auto& call = m_sent.at(id);
  if (IsSuccess(result.m_status)) {
    CheckBody(call, result, right_body);
  }
  // Of a call that may be repeated only the end of its budget is a promise.
  const auto refused = IsPromise(result.m_status) && !result.m_signed &&
                       (call.m_kind == CallKind::kUnsafe ||
                        result.m_status == kStatusBudgetSpent);
  if (refused) {
    m_refused.insert(id);
    if (m_runs.contains(id)) {
      Break("refused with " + std::to_string(result.m_status) +
            ", though it ran: " + id);
    }
  }
  if (call.m_kind == CallKind::kTurn) {
    auto& handed = m_handed[call.m_program];
    handed += result.m_events * kTokensPerEvent;
    if (handed > m_limits[call.m_program]) {
      Break("program " + call.m_program + " was handed " +
            std::to_string(handed) + " tokens of " +
            std::to_string(m_limits[call.m_program]) + ", last by " + id);
    }
  }
}

auto Promises::CheckBody(const SentCall& call,
                         const CallResult& result,
                         const std::string& right_body) -> void {
  if (!result.m_signed) {
    Break("success without signature: " + call.m_id);
  }
  // An answer that was cut may be any beginning of the right one.
  const auto right = result.m_whole ? result.m_body == right_body
                                    : right_body.starts_with(result.m_body);
  if (!right) {
    Break((result.m_whole ? "whole answer with a wrong body: "
                          : "cut answer with a wrong body: ") +
          call.m_id);
  }
}

}  // namespace dotterelshed::soak
