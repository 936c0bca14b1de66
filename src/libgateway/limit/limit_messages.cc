#include "limit/limit_messages.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "lead/message_ids.h"

namespace dotterelshed {

namespace {

using Json = nlohmann::json;

/// Bound of ages and waits in messages.
constexpr std::int64_t kDayMs = 86400000;

auto ToMs(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

auto ReadMs(const Json& json) -> Duration {
  return std::chrono::milliseconds(
      std::clamp<std::int64_t>(json.get<std::int64_t>(), 0, kDayMs));
}

auto WriteStatement(const EndpointId& id,
                    const LimitStatement& statement,
                    TimePoint now) -> Json {
  auto rate =
      statement.m_per_second ? Json(*statement.m_per_second) : Json(nullptr);
  return Json::array(
      {WriteId(id), std::move(rate), ToMs(now - statement.m_as_of)});
}

auto ReadStatement(const Json& json, TimePoint now) -> LimitStatement {
  LimitStatement statement{.m_as_of = now - ReadMs(json.at(2))};
  if (!json.at(1).is_null()) {
    statement.m_per_second = std::max(json.at(1).get<double>(), 0.0);
  }
  return statement;
}

/// Runs @p decode; a missing or mistyped member is returned as
/// kInvalidArgument.
template <typename T, typename Decode>
auto Parse(std::string_view text, Decode decode) -> Result<T> {
  try {
    return decode(Json::parse(text, nullptr, false));
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what(), "limit message");
  }
}

}  // namespace

auto EncodeLimitAsk(const LimitAsk& ask, TimePoint now) -> std::string {
  auto statements = Json::array();
  for (const auto& [id, statement] : ask.m_statements) {
    statements.push_back(WriteStatement(id, statement, now));
  }
  return Json{{"endpoint", WriteId(ask.m_endpoint)},
              {"statements", std::move(statements)},
              {"all", ask.m_all},
              {"from_lead", ask.m_from_lead}}
      .dump();
}

auto DecodeLimitAsk(std::string_view text, TimePoint now) -> Result<LimitAsk> {
  return Parse<LimitAsk>(text, [now](const Json& json) {
    LimitAsk ask{.m_endpoint = ReadId<EndpointId>(json.at("endpoint"))};
    ask.m_all = json.value("all", false);
    ask.m_from_lead = json.value("from_lead", false);
    for (const auto& one : json.at("statements")) {
      ask.m_statements.emplace(ReadId<EndpointId>(one.at(0)),
                               ReadStatement(one, now));
    }
    return ask;
  });
}

auto EncodeLimitAnswer(const LimitAnswer& answer, TimePoint now)
    -> std::string {
  auto states = Json::array();
  for (const auto& [id, state] : answer.m_states) {
    auto one = WriteStatement(id, state.m_statement, now);
    one.push_back(ToMs(state.m_wait));
    states.push_back(std::move(one));
  }
  return Json{{"leads", answer.m_leads},
              {"permitted", answer.m_permitted},
              {"states", std::move(states)}}
      .dump();
}

auto DecodeLimitAnswer(std::string_view text, TimePoint now)
    -> Result<LimitAnswer> {
  return Parse<LimitAnswer>(text, [now](const Json& json) {
    LimitAnswer answer{.m_leads = json.at("leads").get<bool>(),
                       .m_permitted = json.at("permitted").get<bool>()};
    for (const auto& one : json.at("states")) {
      answer.m_states.emplace(ReadId<EndpointId>(one.at(0)),
                              LimitState{.m_statement = ReadStatement(one, now),
                                         .m_wait = ReadMs(one.at(3))});
    }
    return answer;
  });
}

}  // namespace dotterelshed
