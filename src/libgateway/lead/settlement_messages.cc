#include <nlohmann/json.hpp>

#include "lead/lead_messages.h"
#include "lead/message_ids.h"

namespace dotterelshed {

namespace {

using Json = nlohmann::json;

/// A lead's answer is read by each host many times a minute.
constexpr std::size_t kMaxListed = 64;

/// The report is an item without program and request, of which earlier
/// versions make nothing.
auto WriteReport(const EndpointReport& report) -> Json {
  auto outcomes = Json::object();
  for (const auto& [id, counts] : report.m_outcomes) {
    outcomes[WriteId(id)] = counts;
  }
  auto slowness = Json::object();
  for (const auto& [id, sum] : report.m_slowness) {
    slowness[WriteId(id)] = {sum.m_answers, sum.m_sum};
  }
  return {{"program", ""},
          {"request", ""},
          {"used", 0},
          {"host", report.m_host.value()},
          {"outcomes", std::move(outcomes)},
          {"slowness", std::move(slowness)}};
}

auto ReadReport(const Json& json) -> EndpointReport {
  EndpointReport report{.m_host = HostId(json.at("host"))};
  for (const auto& [id, counts] : json.at("outcomes").items()) {
    report.m_outcomes.emplace(EndpointId(DecodeText(id)),
                              counts.get<OutcomeCounts>());
  }
  for (const auto& [id, sum] : json.at("slowness").items()) {
    report.m_slowness.emplace(
        EndpointId(DecodeText(id)),
        SlownessSum{.m_answers = sum.at(0).get<std::uint32_t>(),
                    .m_sum = sum.at(1).get<double>()});
  }
  return report;
}

auto WriteValues(const std::map<EndpointId, double>& values) -> Json {
  auto json = Json::object();
  for (const auto& [id, value] : values) {
    if (json.size() < kMaxListed) {
      json[WriteId(id)] = value;
    }
  }
  return json;
}

auto ReadBatch(const Json& json) -> SettlementBatch {
  SettlementBatch batch;
  for (const auto& one : json) {
    if (one.contains("outcomes")) {
      batch.m_report = ReadReport(one);
      continue;
    }
    batch.m_settlements.push_back({ReadId<ProgramId>(one.at("program")),
                                   ReadId<RequestId>(one.at("request")),
                                   Tokens(one.at("used").get<std::int64_t>())});
  }
  return batch;
}

auto ReadJudgement(const Json& json) -> DomainJudgement {
  DomainJudgement judgement;
  for (const auto& [id, share] : json.at("shares").items()) {
    judgement.m_shares.emplace(EndpointId(DecodeText(id)), share.get<double>());
  }
  for (const auto& [id, slowness] : json.at("slowness").items()) {
    judgement.m_slowness.emplace(EndpointId(DecodeText(id)),
                                 slowness.get<double>());
  }
  judgement.m_hosts = json.at("hosts").get<std::size_t>();
  if (json.contains("probe")) {
    judgement.m_probe =
        ProbeOrder{.m_endpoint = ReadId<EndpointId>(json.at("probe")),
                   .m_any = json.value("any", false)};
  }
  return judgement;
}

template <typename T, typename Decode>
auto Parse(std::string_view text, Decode decode) -> Result<T> {
  try {
    return decode(Json::parse(text));
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what(), "peer message");
  }
}

}  // namespace

auto EncodeSettlements(const SettlementBatch& batch) -> std::string {
  auto list = Json::array();
  if (batch.m_report) {
    list.push_back(WriteReport(*batch.m_report));
  }
  for (const auto& one : batch.m_settlements) {
    list.push_back({{"program", WriteId(one.m_program)},
                    {"request", WriteId(one.m_request)},
                    {"used", one.m_used.value()}});
  }
  return list.dump();
}

auto DecodeSettlements(std::string_view text) -> Result<SettlementBatch> {
  return Parse<SettlementBatch>(text, ReadBatch);
}

auto EncodeDomainJudgement(const DomainJudgement& judgement) -> std::string {
  Json json{{"shares", WriteValues(judgement.m_shares)},
            {"slowness", WriteValues(judgement.m_slowness)},
            {"hosts", judgement.m_hosts}};
  if (judgement.m_probe) {
    json["probe"] = WriteId(judgement.m_probe->m_endpoint);
    json["any"] = judgement.m_probe->m_any;
  }
  return json.dump();
}

auto DecodeDomainJudgement(std::string_view text) -> Result<DomainJudgement> {
  return Parse<DomainJudgement>(text, ReadJudgement);
}

}  // namespace dotterelshed
