#include "lead/lead_messages.h"

#include <array>
#include <nlohmann/json.hpp>

#include "lead/message_ids.h"

namespace dotterelshed {

namespace {

using Json = nlohmann::json;

constexpr auto kVerdicts = std::to_array<GrantVerdict>(
    {GrantVerdict::kGranted, GrantVerdict::kBudgetSpent,
     GrantVerdict::kElsewhere, GrantVerdict::kNotLead, GrantVerdict::kNoStore,
     GrantVerdict::kRetry, GrantVerdict::kUnavailable});

/// Runs @p decode; a missing or mistyped member is returned as
/// kInvalidArgument.
template <typename T, typename Decode>
auto Read(const Json& json, Decode decode) -> Result<T> {
  try {
    return decode(json);
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what(), "peer message");
  }
}

template <typename T, typename Decode>
auto Parse(std::string_view text, Decode decode) -> Result<T> {
  return Read<T>(Json::parse(text, nullptr, false), decode);
}

auto ToTokens(const Json& value) -> Tokens {
  return Tokens(value.get<std::int64_t>());
}

/// A wait in whole milliseconds, rounded up, since it must not be too short.
auto CeilMs(Duration wait) -> std::int64_t {
  return std::chrono::ceil<std::chrono::milliseconds>(wait).count();
}

auto ReadOptionalMs(const Json& json, const char* key)
    -> std::optional<Duration> {
  const auto found = json.find(key);
  if (found == json.end()) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(found->get<std::int64_t>());
}

auto ReadLeadEntry(const Json& json) -> LeadEntry {
  LeadEntry entry;
  entry.m_host = HostId(json.at("host"));
  entry.m_incarnation = Incarnation(json.at("incarnation").get<std::int64_t>());
  entry.m_peer_address = json.at("peer_address").get<std::string>();
  entry.m_processor_share = json.at("processor_share").get<double>();
  return entry;
}

auto WriteKnownLead(const KnownLead& lead) -> Json {
  return {{"domain", lead.m_domain.value()},
          {"entry", EncodeLeadEntry(lead.m_entry)},
          {"version", lead.m_version.value()}};
}

auto ReadKnownLead(const Json& json) -> KnownLead {
  return {.m_domain = DomainId(json.at("domain")),
          .m_entry = ReadLeadEntry(json.at("entry")),
          .m_version = ResourceVersion(json.at("version").get<std::int64_t>())};
}

auto ReadLedgerRecord(const Json& json) -> LedgerRecord {
  LedgerRecord record;
  for (const auto& [program, bound] : json.at("bounds").items()) {
    record.m_bounds.emplace(ProgramId(DecodeText(program)), ToTokens(bound));
  }
  for (const auto& turn : json.at("running")) {
    record.m_running.push_back({ReadId<ProgramId>(turn.at("program")),
                                ReadId<RequestId>(turn.at("request")),
                                ToTokens(turn.at("tokens"))});
  }
  // Hosts of earlier versions give advances and don't write it.
  record.m_advance_wait = ReadOptionalMs(json, "advance_wait_ms");
  return record;
}

/// Adds the members of @p record to @p json.
auto WriteLedgerRecord(Json& json, const LedgerRecord& record) -> void {
  auto bounds = Json::object();
  for (const auto& [program, bound] : record.m_bounds) {
    bounds[WriteId(program)] = bound.value();
  }
  auto running = Json::array();
  for (const auto& turn : record.m_running) {
    running.push_back({{"program", WriteId(turn.m_program)},
                       {"request", WriteId(turn.m_request)},
                       {"tokens", turn.m_tokens.value()}});
  }
  json["bounds"] = std::move(bounds);
  json["running"] = std::move(running);
  if (record.m_advance_wait) {
    json["advance_wait_ms"] = CeilMs(*record.m_advance_wait);
  }
}

/// Hosts of earlier versions neither write nor keep it.
auto ReadJournalScope(const Json& json) -> JournalScope {
  const auto named = json.find("journal_hosts");
  if (named == json.end()) {
    return std::nullopt;
  }
  std::set<HostId> hosts;
  for (const auto& host : *named) {
    hosts.insert(ReadId<HostId>(host));
  }
  return hosts;
}

auto WriteJournalScope(Json& json, const JournalScope& scope) -> void {
  if (!scope) {
    return;
  }
  auto named = Json::array();
  for (const auto& host : *scope) {
    named.push_back(WriteId(host));
  }
  json["journal_hosts"] = std::move(named);
}

auto ReadStoredLedger(const Json& json) -> StoredLedger {
  StoredLedger ledger;
  ledger.m_host = HostId(json.at("host"));
  ledger.m_incarnation =
      Incarnation(json.at("incarnation").get<std::int64_t>());
  ledger.m_write = json.at("write").get<std::int64_t>();
  ledger.m_fence = json.at("fence").get<std::int64_t>();
  ledger.m_quota_wait = ReadOptionalMs(json, "quota_wait_ms");
  ledger.m_quotas_stopped = json.value("quotas_stopped", false);
  ledger.m_record = ReadLedgerRecord(json);
  ledger.m_journal_hosts = ReadJournalScope(json);
  // Hosts of earlier versions neither write nor keep it.
  if (const auto unread = json.find("unread"); unread != json.end()) {
    ledger.m_unread = LedgerPosition{
        .m_incarnation =
            Incarnation(unread->at("incarnation").get<std::int64_t>()),
        .m_write = unread->at("write").get<std::int64_t>(),
        .m_journal_hosts = ReadJournalScope(*unread)};
  }
  return ledger;
}

auto WriteOptionalLead(const std::optional<KnownLead>& lead) -> Json {
  return lead ? WriteKnownLead(*lead) : Json();
}

auto ReadOptionalLead(const Json& json) -> std::optional<KnownLead> {
  return json.is_null() ? std::nullopt : std::optional(ReadKnownLead(json));
}

/// Minimum ratio of processor shares for a handover.
constexpr double kMinCapacityRatio = 2.0;

}  // namespace

auto IsMuchSmaller(double share, double other) -> bool {
  return share * kMinCapacityRatio <= other;
}

auto ToString(GrantVerdict verdict) -> std::string_view {
  switch (verdict) {
    case GrantVerdict::kGranted:
      return "granted";
    case GrantVerdict::kBudgetSpent:
      return "budget_spent";
    case GrantVerdict::kElsewhere:
      return "elsewhere";
    case GrantVerdict::kNotLead:
      return "not_lead";
    case GrantVerdict::kNoStore:
      return "no_store";
    case GrantVerdict::kRetry:
      return "retry";
    case GrantVerdict::kUnavailable:
      return "unavailable";
  }
  return "unavailable";
}

auto EncodeTurnGrantRequest(const TurnGrantRequest& request) -> std::string {
  Json json{{"program", WriteId(request.m_grant.m_program)},
            {"request", WriteId(request.m_grant.m_request)},
            {"budget", request.m_grant.m_budget.value()},
            {"most", request.m_grant.m_turn_max.value()},
            {"service", WriteId(request.m_service)},
            {"may_retry", request.m_may_retry}};
  if (!request.m_host.empty()) {
    json["host"] = request.m_host.value();
  }
  if (!request.m_software.empty()) {
    json["software"] = WriteId(request.m_software);
  }
  return json.dump();
}

auto DecodeTurnGrantRequest(std::string_view text) -> Result<TurnGrantRequest> {
  return Parse<TurnGrantRequest>(text, [](const Json& json) {
    TurnGrantRequest request;
    request.m_grant.m_program = ReadId<ProgramId>(json.at("program"));
    request.m_grant.m_request = ReadId<RequestId>(json.at("request"));
    request.m_grant.m_budget = ToTokens(json.at("budget"));
    request.m_grant.m_turn_max = ToTokens(json.at("most"));
    request.m_service = ReadId<ServiceId>(json.at("service"));
    // Hosts of earlier versions don't send it.
    request.m_may_retry = json.value("may_retry", false);
    request.m_host = HostId(json.value("host", std::string()));
    if (const auto software = json.find("software"); software != json.end()) {
      request.m_software = ReadId<SoftwareVersion>(*software);
    }
    return request;
  });
}

auto EncodeTurnGrantResponse(const TurnGrantResponse& response) -> std::string {
  Json json{{"verdict", ToString(response.m_verdict)},
            {"domain", response.m_domain.value()},
            {"endpoint", WriteId(response.m_endpoint)},
            {"tokens", response.m_tokens.value()},
            {"lead", WriteOptionalLead(response.m_lead)}};
  if (response.m_probe) {
    json["probe"] = true;
  }
  if (response.m_permitted) {
    json["permitted"] = true;
  }
  if (response.m_limit_wait > Duration{0}) {
    json["limit_wait_ms"] = CeilMs(response.m_limit_wait);
  }
  return json.dump();
}

auto DecodeTurnGrantResponse(std::string_view text)
    -> Result<TurnGrantResponse> {
  return Parse<TurnGrantResponse>(text, [](const Json& json) {
    TurnGrantResponse response;
    const auto verdict = json.at("verdict").get<std::string>();
    for (const auto one : kVerdicts) {
      if (ToString(one) == verdict) {
        response.m_verdict = one;
      }
    }
    response.m_domain = DomainId(json.at("domain"));
    response.m_endpoint = ReadId<EndpointId>(json.at("endpoint"));
    response.m_tokens = ToTokens(json.at("tokens"));
    response.m_probe = json.value("probe", false);
    // Leads of earlier versions know of no limits.
    response.m_permitted = json.value("permitted", false);
    response.m_limit_wait =
        std::chrono::milliseconds(json.value("limit_wait_ms", std::int64_t{0}));
    response.m_lead = ReadOptionalLead(json.at("lead"));
    return response;
  });
}

auto EncodeFindAccountRequest(const FindAccountRequest& request)
    -> std::string {
  return Json{{"program", WriteId(request.m_program)},
              {"domain", request.m_domain.value()},
              {"blind", request.m_unverified}}
      .dump();
}

auto DecodeFindAccountRequest(std::string_view text)
    -> Result<FindAccountRequest> {
  return Parse<FindAccountRequest>(text, [](const Json& json) {
    return FindAccountRequest{
        .m_program = ReadId<ProgramId>(json.at("program")),
        .m_domain = DomainId(json.at("domain")),
        .m_unverified = json.at("blind").get<bool>()};
  });
}

auto EncodeFindAccountResponse(const FindAccountResponse& response)
    -> std::string {
  return Json{{"leads", response.m_leads},
              {"found", response.m_found},
              {"lost_advances", response.m_may_have_lost_advances},
              {"lead", WriteOptionalLead(response.m_lead)}}
      .dump();
}

auto DecodeFindAccountResponse(std::string_view text)
    -> Result<FindAccountResponse> {
  return Parse<FindAccountResponse>(text, [](const Json& json) {
    return FindAccountResponse{
        .m_leads = json.at("leads").get<bool>(),
        .m_found = json.at("found").get<bool>(),
        // Leads of earlier versions don't know it.
        .m_may_have_lost_advances = json.value("lost_advances", true),
        .m_lead = ReadOptionalLead(json.at("lead"))};
  });
}

auto EncodeLeadEntry(const LeadEntry& entry) -> Json {
  return Json{{"host", entry.m_host.value()},
              {"incarnation", entry.m_incarnation.value()},
              {"peer_address", entry.m_peer_address},
              {"processor_share", entry.m_processor_share}};
}

auto DecodeLeadEntry(const Json& body) -> Result<LeadEntry> {
  return Read<LeadEntry>(body, ReadLeadEntry);
}

auto EncodeKnownLead(const KnownLead& lead) -> std::string {
  return WriteKnownLead(lead).dump();
}

auto DecodeKnownLead(std::string_view text) -> Result<KnownLead> {
  return Parse<KnownLead>(text, ReadKnownLead);
}

auto EncodeStoredLedger(const StoredLedger& ledger) -> Json {
  Json json{{"host", ledger.m_host.value()},
            {"incarnation", ledger.m_incarnation.value()},
            {"write", ledger.m_write},
            {"fence", ledger.m_fence}};
  WriteLedgerRecord(json, ledger.m_record);
  WriteJournalScope(json, ledger.m_journal_hosts);
  if (const auto& unread = ledger.m_unread) {
    json["unread"] = {{"incarnation", unread->m_incarnation.value()},
                      {"write", unread->m_write}};
    WriteJournalScope(json["unread"], unread->m_journal_hosts);
  }
  if (ledger.m_quota_wait) {
    json["quota_wait_ms"] = CeilMs(*ledger.m_quota_wait);
    json["quotas_stopped"] = ledger.m_quotas_stopped;
  }
  return json;
}

auto DecodeStoredLedger(const Json& body) -> Result<StoredLedger> {
  return Read<StoredLedger>(body, ReadStoredLedger);
}

auto EncodeLeadHandover(const LeadHandover& handover) -> std::string {
  Json json{{"incarnation", handover.m_incarnation.value()}};
  if (handover.m_quota_wait) {
    json["quota_wait_ms"] = CeilMs(*handover.m_quota_wait);
  }
  if (handover.m_unrecorded) {
    WriteLedgerRecord(json["unrecorded"], *handover.m_unrecorded);
  }
  return json.dump();
}

auto DecodeLeadHandover(std::string_view text) -> Result<LeadHandover> {
  return Parse<LeadHandover>(text, [](const Json& json) {
    LeadHandover handover{
        .m_incarnation =
            Incarnation(json.at("incarnation").get<std::int64_t>()),
        .m_quota_wait = ReadOptionalMs(json, "quota_wait_ms")};
    const auto unrecorded = json.find("unrecorded");
    if (unrecorded != json.end()) {
      handover.m_unrecorded = ReadLedgerRecord(*unrecorded);
    }
    return handover;
  });
}

auto EncodeJournalEntry(const JournalEntry& entry) -> std::string {
  return Json{{"domain", entry.m_domain.value()},
              {"claim", entry.m_claim.value()},
              {"ledger", EncodeStoredLedger(entry.m_ledger)}}
      .dump();
}

auto DecodeJournalEntry(std::string_view text) -> Result<JournalEntry> {
  return Parse<JournalEntry>(text, [](const Json& json) {
    return JournalEntry{
        .m_domain = DomainId(json.at("domain")),
        .m_claim = ResourceVersion(json.at("claim").get<std::int64_t>()),
        .m_ledger = ReadStoredLedger(json.at("ledger"))};
  });
}

}  // namespace dotterelshed
