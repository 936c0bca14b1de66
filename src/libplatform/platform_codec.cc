#include "dotterelshed/platform_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dotterelshed {

namespace {

using Json = nlohmann::json;

/// Runs @p decode over the parsed text and turns each fault into a value.
template <typename Value, typename Decode>
auto DecodeWith(std::string_view text,
                std::string_view kind,
                const Decode& decode) -> Result<Value> {
  const auto json = Json::parse(text, nullptr, false);
  if (!json.is_object()) {
    return Fail(ErrorCode::kInvalidArgument, "not a JSON object",
                std::string(kind));
  }
  try {
    return decode(json);
  } catch (const std::exception& fault) {
    return Fail(ErrorCode::kInvalidArgument, fault.what(), std::string(kind));
  }
}

auto ToJson(const HostRef& host) -> Json {
  return {{"host", host.m_host.value()},
          {"incarnation", host.m_incarnation.value()}};
}

auto HostRefFrom(const Json& json) -> HostRef {
  return {
      .m_host = HostId(json.at("host").get<std::string>()),
      .m_incarnation = Incarnation(json.at("incarnation").get<std::int64_t>())};
}

auto ToJson(const PoolAssignment& pool) -> Json {
  return {{"term", pool.m_term.value()},
          {"primary_since", pool.m_primary_since.value()},
          {"primary", ToJson(pool.m_primary)},
          {"holder", ToJson(pool.m_holder)}};
}

auto PoolFrom(const std::string& id, const Json& json) -> PoolAssignment {
  return {.m_pool = PoolId(id),
          .m_term = Term(json.at("term").get<std::int64_t>()),
          .m_primary_since = Term(json.at("primary_since").get<std::int64_t>()),
          .m_primary = HostRefFrom(json.at("primary")),
          .m_holder = HostRefFrom(json.at("holder"))};
}

auto ToJson(const MemberRecord& member) -> Json {
  return {{"incarnation", member.m_incarnation.value()},
          {"peer", member.m_addresses.m_peer},
          {"http", member.m_addresses.m_http}};
}

auto MemberFrom(const Json& json) -> MemberRecord {
  return {
      .m_incarnation = Incarnation(json.at("incarnation").get<std::int64_t>()),
      .m_addresses = {.m_peer = json.at("peer").get<std::string>(),
                      .m_http = json.at("http").get<std::string>()}};
}

auto TableFrom(const Json& json) -> DomainTable {
  DomainTable table;
  table.m_domain = DomainId(json.at("domain").get<std::string>());
  table.m_lead_term = Term(json.at("lead_term").get<std::int64_t>());
  table.m_lead = HostRefFrom(json.at("lead"));
  table.m_generation = Generation(json.at("generation").get<std::int64_t>());
  table.m_highest_term = Term(json.at("highest_term").get<std::int64_t>());
  for (const auto& [id, pool] : json.at("pools").items()) {
    table.m_pools.emplace(PoolId(id), PoolFrom(id, pool));
  }
  for (const auto& [id, member] : json.at("members").items()) {
    table.m_members.emplace(HostId(id), MemberFrom(member));
  }
  return table;
}

/// JSON holds only UTF-8, so an answer goes as such or in hex.
auto IsUtf8(const std::string& bytes) -> bool {
  try {
    (void)Json(bytes).dump();
    return true;
  } catch (const Json::exception&) {
    return false;
  }
}

auto ToHex(const std::string& bytes) -> std::string {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(bytes.size() * 2);
  for (const auto byte : bytes) {
    const auto code = static_cast<unsigned char>(byte);
    hex += kDigits[code >> 4U];
    hex += kDigits[code & 15U];
  }
  return hex;
}

auto FromHex(const std::string& hex) -> std::string {
  std::string bytes;
  for (auto i = std::size_t{0}; i + 1 < hex.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
  }
  return bytes;
}

auto AnswerFrom(const Json& result) -> std::string {
  if (result.contains("answer_hex")) {
    return FromHex(result.at("answer_hex").get<std::string>());
  }
  return result.at("answer").get<std::string>();
}

constexpr auto kOutcomes = {OutcomeKind::kDone, OutcomeKind::kFailed,
                            OutcomeKind::kNotRun, OutcomeKind::kUnknown};

auto OutcomeFrom(const std::string& name) -> OutcomeKind {
  const auto* const found =
      std::find_if(kOutcomes.begin(), kOutcomes.end(),
                   [&name](auto kind) { return ToString(kind) == name; });
  return found == kOutcomes.end() ? OutcomeKind::kUnknown : *found;
}

auto ToJson(const ClaimRecord& claim) -> Json {
  Json json{{"key", claim.m_key.value()},
            {"content", claim.m_content.value()},
            {"request", claim.m_request.value()},
            {"program", claim.m_program.value()},
            {"claimer", ToJson(claim.m_claimer)},
            {"nonce", claim.m_nonce},
            {"claimed_at_s", claim.m_claimed_at_s}};
  if (claim.m_has_result) {
    json["result"] = {{"outcome", ToString(claim.m_outcome)},
                      {"http_status", claim.m_http_status},
                      {"answer_cut", claim.m_answer_truncated}};
    if (IsUtf8(claim.m_answer)) {
      json["result"]["answer"] = claim.m_answer;
    } else {
      json["result"]["answer_hex"] = ToHex(claim.m_answer);
    }
  }
  return json;
}

auto ClaimFrom(const Json& json) -> ClaimRecord {
  ClaimRecord claim{
      .m_key = IdempotencyKey(json.at("key").get<std::string>()),
      .m_content = Digest(json.at("content").get<std::string>()),
      .m_request = RequestId(json.at("request").get<std::string>()),
      .m_program = ProgramId(json.at("program").get<std::string>()),
      .m_claimer = HostRefFrom(json.at("claimer")),
      .m_nonce = json.at("nonce").get<std::string>(),
      .m_claimed_at_s = json.at("claimed_at_s").get<std::int64_t>()};
  if (!json.contains("result")) {
    return claim;
  }
  const auto& result = json.at("result");
  claim.m_has_result = true;
  claim.m_outcome = OutcomeFrom(result.at("outcome").get<std::string>());
  claim.m_http_status = result.at("http_status").get<int>();
  claim.m_answer = AnswerFrom(result);
  claim.m_answer_truncated = result.at("answer_cut").get<bool>();
  return claim;
}

auto LaneFrom(const Json& json) -> ClaimShardObject {
  ClaimShardObject lane;
  lane.m_shard = ClaimShardId(json.at("lane").get<std::string>());
  lane.m_next_seal = json.at("next_seal").get<std::int64_t>();
  for (const auto& claim : json.at("claims")) {
    lane.m_claims.push_back(ClaimFrom(claim));
  }
  for (const auto& sealed : json.at("sealed")) {
    lane.m_sealed.emplace_back(sealed.get<std::string>());
  }
  return lane;
}

/// Bytes of an answer that are not UTF-8 are replaced, since JSON can't hold
/// them.
auto Dump(const Json& json) -> std::string {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

auto EncodeDomainTable(const DomainTable& table) -> std::string {
  auto pools = Json::object();
  for (const auto& [id, pool] : table.m_pools) {
    pools[id.value()] = ToJson(pool);
  }
  auto members = Json::object();
  for (const auto& [id, member] : table.m_members) {
    members[id.value()] = ToJson(member);
  }
  return Dump({{"domain", table.m_domain.value()},
               {"lead_term", table.m_lead_term.value()},
               {"lead", ToJson(table.m_lead)},
               {"generation", table.m_generation.value()},
               {"highest_term", table.m_highest_term.value()},
               {"pools", pools},
               {"members", members}});
}

auto DecodeDomainTable(std::string_view text) -> Result<DomainTable> {
  return DecodeWith<DomainTable>(text, kDomainTableKind, TableFrom);
}

auto EncodeLane(const ClaimShardObject& lane) -> std::string {
  auto claims = Json::array();
  for (const auto& claim : lane.m_claims) {
    claims.push_back(ToJson(claim));
  }
  auto sealed = Json::array();
  for (const auto& name : lane.m_sealed) {
    sealed.push_back(name.value());
  }
  return Dump({{"lane", lane.m_shard.value()},
               {"next_seal", lane.m_next_seal},
               {"claims", claims},
               {"sealed", sealed}});
}

auto DecodeLane(std::string_view text) -> Result<ClaimShardObject> {
  return DecodeWith<ClaimShardObject>(text, kLaneKind, LaneFrom);
}

auto EncodeDomainStatus(const DomainStatus& status) -> std::string {
  auto behind = Json::array();
  for (const auto& host : status.m_behind) {
    behind.push_back(host.value());
  }
  return Dump({{"domain", status.m_domain.value()},
               {"in_force", status.m_in_force.value()},
               {"behind", behind}});
}

auto DecodeDomainStatus(std::string_view text) -> Result<DomainStatus> {
  return DecodeWith<DomainStatus>(
      text, kDomainStatusKind, [](const Json& json) {
        DomainStatus status{
            .m_domain = DomainId(json.at("domain").get<std::string>()),
            .m_in_force = Generation(json.at("in_force").get<std::int64_t>())};
        for (const auto& host : json.at("behind")) {
          status.m_behind.emplace_back(host.get<std::string>());
        }
        return status;
      });
}

auto EncodeStoredConfig(const StoredConfig& config) -> std::string {
  return Dump(
      {{"generation", config.m_generation.value()}, {"text", config.m_text}});
}

auto DecodeStoredConfig(std::string_view text) -> Result<StoredConfig> {
  return DecodeWith<StoredConfig>(text, kConfigKind, [](const Json& json) {
    return StoredConfig{
        .m_generation = Generation(json.at("generation").get<std::int64_t>()),
        .m_text = json.at("text").get<std::string>()};
  });
}

auto DecodeListedNode(std::string_view text) -> Result<ListedNode> {
  return DecodeWith<ListedNode>(text, kHostKind, [](const Json& json) {
    return ListedNode{.m_leaving = json.value("leaving", false)};
  });
}

auto ClaimsWithoutResult(const ClaimShardObject& lane)
    -> std::vector<ClaimRecord> {
  std::vector<ClaimRecord> open;
  for (const auto& claim : lane.m_claims) {
    if (!claim.m_has_result) {
      open.push_back(claim);
    }
  }
  const auto earlier = [](const ClaimRecord& left, const ClaimRecord& right) {
    return left.m_claimed_at_s < right.m_claimed_at_s;
  };
  std::stable_sort(open.begin(), open.end(), earlier);
  return open;
}

}  // namespace dotterelshed
