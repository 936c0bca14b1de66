#include "history/replica_messages.h"

#include <nlohmann/json.hpp>

namespace dotterelshed {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kPlace = "replica message";
/// Values of a record and of a list's entry before the optional hosts.
constexpr std::size_t kRecordFields = 5;
constexpr std::size_t kListedFields = 2;

auto ToMs(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

auto ReadMs(const Json& json) -> Duration {
  return std::chrono::milliseconds(json.get<std::int64_t>());
}

auto Pack(const Json& json) -> std::string {
  std::string text;
  Json::to_msgpack(json, text);
  return text;
}

/// Parses a message with @p read, which may throw what the JSON library throws.
template <typename T, typename Read>
auto Unpack(std::string_view text, Read read) -> Result<T> {
  try {
    return read(Json::from_msgpack(text.begin(), text.end()));
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what(), std::string(kPlace));
  }
}

/// Appends the hosts to an array, if there are any.
auto AppendHosts(const std::set<HostId>& hosts, Json& array) -> void {
  if (hosts.empty()) {
    return;
  }
  auto list = Json::array();
  for (const auto& host : hosts) {
    list.push_back(host.value());
  }
  array.push_back(std::move(list));
}

/// Reads the hosts at a position of an array that may end before it.
auto ReadHosts(const Json& array, std::size_t position) -> std::set<HostId> {
  std::set<HostId> hosts;
  if (position < array.size()) {
    for (const auto& host : array.at(position)) {
      hosts.insert(HostId(host.get<std::string>()));
    }
  }
  return hosts;
}

auto WriteRecord(const TurnRecord& record) -> Json {
  auto json = Json::array({record.m_turn.value(), record.m_previous.value(),
                           record.m_program.value(), record.m_text,
                           ToMs(record.m_lifetime)});
  AppendHosts(record.m_substitutes, json);
  return json;
}

auto WriteRecords(const std::vector<const TurnRecord*>& records) -> Json {
  auto list = Json::array();
  for (const auto* record : records) {
    list.push_back(WriteRecord(*record));
  }
  return list;
}

auto ReadRecord(const Json& json) -> TurnRecord {
  return {.m_turn = RequestId(json.at(0)),
          .m_previous = RequestId(json.at(1)),
          .m_program = ProgramId(json.at(2)),
          .m_text = json.at(3),
          .m_lifetime = ReadMs(json.at(4)),
          .m_substitutes = ReadHosts(json, kRecordFields)};
}

auto ReadRecords(const Json& json) -> std::vector<TurnRecord> {
  std::vector<TurnRecord> records;
  for (const auto& one : json) {
    records.push_back(ReadRecord(one));
  }
  return records;
}

}  // namespace

auto EncodeTurnRecords(const std::vector<const TurnRecord*>& records)
    -> std::string {
  return Pack(WriteRecords(records));
}

auto DecodeTurnRecords(std::string_view text)
    -> Result<std::vector<TurnRecord>> {
  return Unpack<std::vector<TurnRecord>>(text, ReadRecords);
}

auto EncodeTurnReadRequest(const TurnReadRequest& request) -> std::string {
  return Pack({{"turn", request.m_turn.value()}});
}

auto DecodeTurnReadRequest(std::string_view text) -> Result<TurnReadRequest> {
  return Unpack<TurnReadRequest>(text, [](const Json& json) {
    return TurnReadRequest{.m_turn = RequestId(json.at("turn"))};
  });
}

auto EncodeTurnReadResponse(const std::vector<const TurnRecord*>& newest_first,
                            Duration intact_for) -> std::string {
  return Pack(
      {{"turns", WriteRecords(newest_first)}, {"intact_ms", ToMs(intact_for)}});
}

auto DecodeTurnReadResponse(std::string_view text) -> Result<TurnReadResponse> {
  return Unpack<TurnReadResponse>(text, [](const Json& json) {
    return TurnReadResponse{.m_turns = ReadRecords(json.at("turns")),
                            .m_intact_for = ReadMs(json.at("intact_ms"))};
  });
}

auto EncodeTurnListRequest(const TurnListRequest& request) -> std::string {
  return Pack({{"incarnation", request.m_incarnation.value()},
               {"after", request.m_after},
               {"min_age_ms", ToMs(request.m_min_age)}});
}

auto DecodeTurnListRequest(std::string_view text) -> Result<TurnListRequest> {
  return Unpack<TurnListRequest>(text, [](const Json& json) {
    return TurnListRequest{.m_incarnation = Incarnation(
                               json.at("incarnation").get<std::int64_t>()),
                           .m_after = json.at("after").get<std::uint64_t>(),
                           .m_min_age = ReadMs(json.at("min_age_ms"))};
  });
}

auto EncodeTurnListResponse(const TurnListResponse& response) -> std::string {
  auto turns = Json::array();
  for (const auto& one : response.m_turns) {
    auto entry = Json::array({one.m_turn.value(), one.m_program.value()});
    AppendHosts(one.m_substitutes, entry);
    turns.push_back(std::move(entry));
  }
  return Pack({{"incarnation", response.m_incarnation.value()},
               {"turns", std::move(turns)},
               {"last", response.m_last_sequence},
               {"more", response.m_has_more}});
}

auto DecodeTurnListResponse(std::string_view text) -> Result<TurnListResponse> {
  return Unpack<TurnListResponse>(text, [](const Json& json) {
    TurnListResponse response{
        .m_incarnation =
            Incarnation(json.at("incarnation").get<std::int64_t>()),
        .m_last_sequence = json.at("last").get<std::uint64_t>(),
        .m_has_more = json.at("more").get<bool>()};
    for (const auto& one : json.at("turns")) {
      response.m_turns.push_back(
          {.m_turn = RequestId(one.at(0)),
           .m_program = ProgramId(one.at(1)),
           .m_substitutes = ReadHosts(one, kListedFields)});
    }
    return response;
  });
}

auto EncodeTurnIds(const std::vector<RequestId>& turns) -> std::string {
  auto list = Json::array();
  for (const auto& turn : turns) {
    list.push_back(turn.value());
  }
  return Pack(list);
}

auto DecodeTurnIds(std::string_view text) -> Result<std::vector<RequestId>> {
  return Unpack<std::vector<RequestId>>(text, [](const Json& json) {
    std::vector<RequestId> turns;
    for (const auto& one : json) {
      turns.emplace_back(one.get<std::string>());
    }
    return turns;
  });
}

auto EncodeCopyRequest(const HostId& leaving) -> std::string {
  return Pack({{"leaving", leaving.value()}});
}

auto DecodeCopyRequest(std::string_view text) -> Result<HostId> {
  return Unpack<HostId>(
      text, [](const Json& json) { return HostId(json.at("leaving")); });
}

auto EncodeTurnWithdrawal(const TurnWithdrawal& withdrawal) -> std::string {
  return Pack({{"turn", withdrawal.m_turn.value()},
               {"lifetime_ms", ToMs(withdrawal.m_lifetime)}});
}

auto DecodeTurnWithdrawal(std::string_view text) -> Result<TurnWithdrawal> {
  return Unpack<TurnWithdrawal>(text, [](const Json& json) {
    return TurnWithdrawal{.m_turn = RequestId(json.at("turn")),
                          .m_lifetime = ReadMs(json.at("lifetime_ms"))};
  });
}

auto EncodeReplicaHost(const ReplicaHost& host) -> Json {
  return Json{{"host", host.m_host.value()},
              {"domain", host.m_domain.value()},
              {"peer_address", host.m_address},
              {"leaving", host.m_leaving},
              {"drained", host.m_drained}};
}

auto DecodeReplicaHost(const Json& json) -> Result<ReplicaHost> {
  try {
    return ReplicaHost{.m_host = HostId(json.at("host")),
                       .m_domain = DomainId(json.value("domain", "")),
                       .m_address = json.at("peer_address"),
                       .m_leaving = json.value("leaving", false),
                       .m_drained = json.value("drained", false)};
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what(), std::string(kPlace));
  }
}

}  // namespace dotterelshed
