#include <array>

#include "dotterelshed/metrics.h"

namespace dotterelshed {

namespace {

constexpr auto kCatalogue = std::to_array<MetricInfo>({
    {MetricId::kCalls, MetricKind::kCounter, "dotterelshed_calls_total",
     "outcome", "Calls answered by this host, by outcome."},
    {MetricId::kRefusals, MetricKind::kCounter, "dotterelshed_refusals_total",
     "reason", "Calls that ended with a reason, by reason."},
    {MetricId::kCallSeconds, MetricKind::kHistogram,
     "dotterelshed_call_seconds", "service",
     "Time from a call's arrival to its final event."},
    {MetricId::kOpenRequests, MetricKind::kGauge, "dotterelshed_open_requests",
     "", "Callers' requests that are open now; each holds a thread."},
    {MetricId::kAttempts, MetricKind::kCounter, "dotterelshed_attempts_total",
     "end", "Attempts on endpoints, by how they ended."},
    {MetricId::kAttemptSeconds, MetricKind::kHistogram,
     "dotterelshed_attempt_seconds", "service",
     "Time of one attempt on an endpoint."},
    {MetricId::kPeerMessages, MetricKind::kCounter,
     "dotterelshed_peer_messages_total", "direction",
     "Messages between hosts, sent and received."},
    {MetricId::kPeerBytes, MetricKind::kCounter,
     "dotterelshed_peer_bytes_total", "direction",
     "Bytes of messages between hosts, sent and received."},
    {MetricId::kPeerForwards, MetricKind::kCounter,
     "dotterelshed_forwards_total", "",
     "Calls forwarded to the host that owns their program."},
    {MetricId::kPlatformCalls, MetricKind::kCounter,
     "dotterelshed_platform_calls_total", "verb",
     "Calls to the platform's object API; a watch counts once."},
    {MetricId::kPlatformReachable, MetricKind::kGauge,
     "dotterelshed_platform_reachable", "",
     "1 while the platform answers, else 0."},
    {MetricId::kCoreStepSeconds, MetricKind::kHistogram,
     "dotterelshed_core_step_seconds", "",
     "Processing time of one event in the decision core."},
    {MetricId::kConfigGeneration, MetricKind::kGauge,
     "dotterelshed_config_generation", "",
     "Configuration generation in force on this host."},
    {MetricId::kLogEvents, MetricKind::kCounter,
     "dotterelshed_log_events_total", "level",
     "Log events, by level, whether they were written or not."},
    {MetricId::kEntryRequests, MetricKind::kCounter,
     "dotterelshed_entry_requests_total", "reason",
     "Requests that ended on an entry host, by reason."},
    {MetricId::kEntrySeconds, MetricKind::kHistogram,
     "dotterelshed_entry_seconds", "kind",
     "Time from a request's arrival to the end of its answer, by kind."},
    {MetricId::kEntryFirstByteSeconds, MetricKind::kHistogram,
     "dotterelshed_entry_first_byte_seconds", "kind",
     "Time from a request's arrival to the first byte of its answer, by kind."},
    {MetricId::kConnectionsClosed, MetricKind::kCounter,
     "dotterelshed_connections_closed_total", "reason",
     "Connections of callers and hosts that this host closed without an open "
     "request, by reason; bytes_lost counts those that lost received bytes."},
    {MetricId::kTurnDecisions, MetricKind::kCounter,
     "dotterelshed_turn_decisions_total", "decision",
     "Turns that this lead decided on, by decision."},
    {MetricId::kEndpointConnections, MetricKind::kCounter,
     "dotterelshed_endpoint_connections_total", "outcome",
     "Connections that an entry host asked for, by whether one was kept."},
    {MetricId::kEndpointJudgements, MetricKind::kCounter,
     "dotterelshed_endpoint_judgements_total", "state",
     "Changes of this host's judgements of endpoints, by the new state."},
    {MetricId::kLimitedAttempts, MetricKind::kCounter,
     "dotterelshed_limited_attempts_total", "endpoint",
     "Requests that this host sent to endpoints of which it knew a limit, by "
     "endpoint."},
    {MetricId::kEndpointPermits, MetricKind::kCounter,
     "dotterelshed_endpoint_permits_total", "decision",
     "Permits for requests to endpoints with limits that this lead granted or "
     "refused, for turns and for hosts that asked."},
    {MetricId::kPermitAsks, MetricKind::kCounter,
     "dotterelshed_permit_asks_total", "outcome",
     "Questions of this host for such permits, by the lead's answer."},
    {MetricId::kRelayedAttempts, MetricKind::kCounter,
     "dotterelshed_relayed_attempts_total", "outcome",
     "Connections that this host, without links to endpoints, asked other "
     "hosts for, by outcome."},
    {MetricId::kRelayPassages, MetricKind::kCounter,
     "dotterelshed_relay_passages_total", "outcome",
     "Connections that other hosts asked this one for, by outcome."},
    {MetricId::kStreamOrigins, MetricKind::kCounter,
     "dotterelshed_stream_origins_total", "outcome",
     "Streams that callers took up here, by whether the software version that "
     "began them is known."},
    {MetricId::kStreamOriginCopies, MetricKind::kCounter,
     "dotterelshed_stream_origin_copies_total", "outcome",
     "Messages to disk hosts about streams that began here, by whether they "
     "were answered."},
    {MetricId::kViewAge, MetricKind::kGauge, "dotterelshed_view_age_seconds",
     "kind",
     "Time since the platform last showed that this host's view of a kind of "
     "objects is complete."},
    {MetricId::kSuspectContents, MetricKind::kGauge,
     "dotterelshed_suspect_contents", "state",
     "Requests under which endpoints may have ended, as all hosts have seen: "
     "those that are known, and those that are quarantined."},
    {MetricId::kHistoryReads, MetricKind::kCounter,
     "dotterelshed_history_reads_total", "outcome",
     "Histories that turns continue from, by where or whether they were "
     "found."},
    {MetricId::kHistoryStoreSeconds, MetricKind::kHistogram,
     "dotterelshed_history_store_seconds", "",
     "Time from the end of a turn until it is on enough disks."},
    {MetricId::kHistoryWrites, MetricKind::kCounter,
     "dotterelshed_history_writes_total", "copies",
     "Turns that were stored: spread over as many failure domains as hosts may "
     "be lost and one more, or short of that while domains did not answer."},
    {MetricId::kReplicaTurns, MetricKind::kGauge, "dotterelshed_replica_turns",
     "unit", "Turns that this disk host stores, and their bytes."},
    {MetricId::kReplicaWrites, MetricKind::kCounter,
     "dotterelshed_replica_writes_total", "outcome",
     "Turns that this disk host was to write, by outcome."},
    {MetricId::kReplicaCopies, MetricKind::kCounter,
     "dotterelshed_replica_copies_total", "domain",
     "Turns that this disk host lacked and copied, by the failure domain that "
     "had them."},
    {MetricId::kAccessDecisions, MetricKind::kCounter,
     "dotterelshed_access_decisions_total", "outcome",
     "Requests by how they stand to the accounts of the configuration; only "
     "where it has accounts."},
    {MetricId::kAccountRequests, MetricKind::kCounter,
     "dotterelshed_account_requests_total", "account",
     "Requests that ended, by account: the 32 with the largest quotas, the "
     "others together."},
    {MetricId::kAccountFailures, MetricKind::kCounter,
     "dotterelshed_account_failures_total", "account",
     "Requests that ended without success, by account in the same way."},
    {MetricId::kQuotaDecisions, MetricKind::kCounter,
     "dotterelshed_quota_decisions_total", "decision",
     "Requests of accounts with a quota that this host decided on, by "
     "decision."},
    {MetricId::kQuotaRefusals, MetricKind::kCounter,
     "dotterelshed_quota_refusals_total", "account",
     "Requests refused for a quota, by account."},
    {MetricId::kQuotaQuestions, MetricKind::kCounter,
     "dotterelshed_quota_questions_total", "outcome",
     "Questions for quota tokens to leads, by whether they were answered."},
    {MetricId::kQuotaLoans, MetricKind::kCounter,
     "dotterelshed_quota_loans_total", "outcome",
     "Questions for quota tokens from this lead to those of other domains, by "
     "whether they were answered."},
    {MetricId::kQuotaTokens, MetricKind::kCounter,
     "dotterelshed_quota_tokens_total", "to",
     "Quota tokens that this lead handed out: granted to hosts of its domain, "
     "or lent to others."},
});

}  // namespace

auto ToString(MetricKind kind) -> std::string_view {
  switch (kind) {
    case MetricKind::kCounter:
      return "counter";
    case MetricKind::kGauge:
      return "gauge";
    case MetricKind::kHistogram:
      return "histogram";
  }
  return "gauge";
}

auto MetricCatalogue() -> std::span<const MetricInfo> {
  return kCatalogue;
}

auto FormatMetricsPage() -> std::string {
  auto page = std::string(
      "# Metrics\n\n"
      "Made by `dotterelctl events --metrics --markdown`; `.ci/check-docs` "
      "compares it with the code.\nEach host serves them at `GET /metrics`. "
      "A metric appears once it has a value.\n\n"
      "| name | kind | label | meaning |\n|---|---|---|---|\n");
  for (const auto& info : MetricCatalogue()) {
    page += "| `" + std::string(info.m_name) + "` | " +
            std::string(ToString(info.m_kind)) + " | " +
            std::string(info.m_label) + " | " + std::string(info.m_help) +
            " |\n";
  }
  return page;
}

}  // namespace dotterelshed
