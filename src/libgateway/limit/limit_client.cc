#include "limit/limit_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"
#include "dotterelshed/steady_time.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

/// No permit is asked for within this time after the lead had none or was
/// silent, however soon there may be one.
constexpr Duration kMinWait = std::chrono::milliseconds(20);
constexpr Duration kSilenceWait = std::chrono::milliseconds(200);
constexpr Duration kReportInterval = std::chrono::milliseconds(50);
constexpr Duration kReportTimeout = std::chrono::milliseconds(500);
constexpr Duration kSweepInterval = std::chrono::seconds(1);

auto LogLimit(const EndpointId& endpoint,
              const RequestId& request,
              std::optional<double> limit,
              std::string_view source) -> void {
  LogEvent(LogEventId::kEndpointLimited,
           {{"request", request.value()},
            {"endpoint", endpoint.value()},
            {"per_second", limit ? fmt::format("{:.2f}", *limit) : "none"},
            {"source", std::string(source)}});
}

}  // namespace

LimitClient::LimitClient(EntryContext& context, LeadService& own_lead)
    : m_context(context), m_own_lead(own_lead) {}

auto LimitClient::NoteAnswer(const AnswerLimit& answer) -> void {
  const auto changed =
      NoteAnswerLimit(m_context.m_limits, answer.m_endpoint, answer.m_stated,
                      answer.m_sent_at, SteadyTime());
  if (changed) {
    ++m_context.m_limit_changes;
    m_unreported.insert(answer.m_endpoint);
    LogLimit(answer.m_endpoint, answer.m_request, answer.m_stated, "answer");
  }
}

auto LimitClient::Ask(const EndpointId& endpoint, Respond respond) -> void {
  const auto now = SteadyTime();
  const auto lead = m_context.LeadOf(m_context.m_settings.m_domain);
  if (!lead) {
    NoteSilence(endpoint, now);
    respond(false);
    return;
  }
  LimitAsk ask{.m_endpoint = endpoint};
  if (const auto known = m_context.m_limits.find(endpoint);
      known != m_context.m_limits.end()) {
    ask.m_statements.insert(*known);
  }
  if (lead->m_entry.m_host == m_context.m_settings.m_host) {
    respond(TakeAnswer(endpoint, m_own_lead.AskPermit(ask), now));
    return;
  }
  CallPeer(m_context.m_loop, m_context.m_peer_connections,
           lead->m_entry.m_peer_address, kLimitPath, EncodeLimitAsk(ask, now),
           kAskTimeout,
           [this, endpoint, now,
            respond = std::move(respond)](const Result<std::string>& reply) {
             const auto answer = reply.and_then([](const std::string& text) {
               return DecodeLimitAnswer(text, SteadyTime());
             });
             // The answer may have waited while this host was paused.
             const auto in_time = SteadyTime() - now <= kPermitTime;
             respond(TakeAnswer(endpoint, answer.value_or(LimitAnswer()),
                                SteadyTime()) &&
                     in_time);
           });
}

auto LimitClient::TakeAnswer(const EndpointId& endpoint,
                             const LimitAnswer& answer,
                             TimePoint now) -> bool {
  CountMetric(MetricId::kPermitAsks, !answer.m_leads      ? "unanswered"
                                     : answer.m_permitted ? "granted"
                                                          : "refused");
  if (!answer.m_leads) {
    NoteSilence(endpoint, now);
    return false;
  }
  TakeStates(answer.m_states, now);
  if (!answer.m_permitted) {
    auto& none_before = m_none_before[endpoint];
    none_before = std::max(none_before, now + kMinWait);
  }
  return answer.m_permitted;
}

auto LimitClient::TakeStates(const std::map<EndpointId, LimitState>& states,
                             TimePoint now) -> void {
  for (const auto& [id, state] : states) {
    if (MergeStatement(m_context.m_limits, id, state.m_statement)) {
      ++m_context.m_limit_changes;
      LogLimit(id, RequestId(), state.m_statement.m_per_second, "lead");
    }
    if (state.m_wait > Duration{0}) {
      m_none_before[id] = now + std::max(state.m_wait, kMinWait);
    }
  }
}

auto LimitClient::NoteSilence(const EndpointId& endpoint, TimePoint now)
    -> void {
  const auto service = ServiceOf(m_context.m_directory, endpoint);
  for (const auto& [id, statement] : m_context.m_limits) {
    const auto same_service = ServiceOf(m_context.m_directory, id) == service;
    if (statement.m_per_second && same_service) {
      m_none_before[id] = now + kSilenceWait;
    }
  }
  m_none_before[endpoint] = now + kSilenceWait;
}

auto LimitClient::Exhausted(const ServiceId& service, TimePoint now) const
    -> std::set<EndpointId> {
  std::set<EndpointId> exhausted;
  for (const auto& [id, none_before] : m_none_before) {
    const auto concerns = none_before > now &&
                          ServiceOf(m_context.m_directory, id) == service &&
                          LimitOf(m_context.m_limits, id);
    if (concerns) {
      exhausted.insert(id);
    }
  }
  return exhausted;
}

auto LimitClient::ShortestWait(const ServiceId& service, TimePoint now) const
    -> std::optional<Duration> {
  std::optional<Duration> shortest;
  for (const auto& id : Exhausted(service, now)) {
    const auto wait = m_none_before.at(id) - now;
    shortest = std::min(shortest.value_or(wait), wait);
  }
  return shortest;
}

auto LimitClient::Tick(TimePoint now) -> void {
  if ((!m_unreported.empty() || IsBehindLead()) &&
      now - m_last_report >= kReportInterval) {
    m_last_report = now;
    ReportStatements(now);
  }
  if (now - m_last_sweep >= kSweepInterval) {
    m_last_sweep = now;
    ForgetRemoved();
    std::erase_if(m_none_before,
                  [now](const auto& item) { return item.second <= now; });
  }
}

auto LimitClient::IsBehindLead() const -> bool {
  const auto lead = m_context.LeadOf(m_context.m_settings.m_domain);
  const auto elsewhere =
      lead && lead->m_entry.m_host != m_context.m_settings.m_host;
  return elsewhere && m_context.m_lead_limit_changes > 0 &&
         (lead->m_version != m_synced_lead ||
          m_context.m_lead_limit_changes > m_synced_changes);
}

auto LimitClient::ReportStatements(TimePoint now) -> void {
  LimitAsk ask{.m_all = IsBehindLead()};
  for (const auto& id : std::exchange(m_unreported, {})) {
    const auto known = m_context.m_limits.find(id);
    if (known != m_context.m_limits.end()) {
      ask.m_statements.insert(*known);
    }
  }
  const auto lead = m_context.LeadOf(m_context.m_settings.m_domain);
  if (!lead) {
    ReportAgain(ask);
    return;
  }
  if (lead->m_entry.m_host == m_context.m_settings.m_host) {
    m_own_lead.TellLimits(ask.m_statements);
    return;
  }
  CallPeer(m_context.m_loop, m_context.m_peer_connections,
           lead->m_entry.m_peer_address, kLimitPath, EncodeLimitAsk(ask, now),
           kReportTimeout,
           [this, version = lead->m_version, ask,
            changes = m_context.m_lead_limit_changes](
               const Result<std::string>& reply) {
             const auto later = SteadyTime();
             const auto answer =
                 reply.and_then([later](const std::string& text) {
                   return DecodeLimitAnswer(text, later);
                 });
             if (!answer || !answer->m_leads) {
               ReportAgain(ask);
             } else if (ask.m_all) {
               m_synced_lead = version;
               m_synced_changes = changes;
               TakeStates(answer->m_states, later);
             }
           });
}

auto LimitClient::ReportAgain(const LimitAsk& ask) -> void {
  for (const auto& [id, statement] : ask.m_statements) {
    m_unreported.insert(id);
  }
}

auto LimitClient::ForgetRemoved() -> void {
  std::erase_if(m_context.m_limits, [this](const auto& item) {
    return FindEndpoint(m_context.m_directory, item.first) == nullptr;
  });
}

}  // namespace dotterelshed
