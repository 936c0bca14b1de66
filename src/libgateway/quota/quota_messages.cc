#include "quota/quota_messages.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dotterelshed {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kPlace = "quota message";
/// Upper bound of tokens in one question; more are asked for again.
constexpr int kMaxTokens = 10000;

auto ToMs(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

auto ReadMs(const Json& json) -> Duration {
  return std::chrono::milliseconds(json.get<std::int64_t>());
}

/// Runs @p decode; a missing or mistyped member is returned as
/// kInvalidArgument.
template <typename T, typename Decode>
auto Parse(std::string_view text, Decode decode) -> Result<T> {
  try {
    return decode(Json::parse(text, nullptr, false));
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what(), std::string(kPlace));
  }
}

auto ReadCount(const Json& json) -> int {
  return std::clamp(json.get<int>(), 0, kMaxTokens);
}

}  // namespace

auto EncodeQuotaAsk(const QuotaAskMessage& message) -> std::string {
  auto asks = Json::array();
  for (const auto& ask : message.m_asks) {
    asks.push_back({ask.m_account.value(), ask.m_need, ask.m_extra});
  }
  return Json{{"loan", message.m_loan}, {"asks", std::move(asks)}}.dump();
}

auto DecodeQuotaAsk(std::string_view text) -> Result<QuotaAskMessage> {
  return Parse<QuotaAskMessage>(text, [](const Json& json) {
    QuotaAskMessage message{.m_loan = json.at("loan").get<bool>()};
    for (const auto& ask : json.at("asks")) {
      message.m_asks.push_back({.m_account = AccountId(ask.at(0)),
                                .m_need = ReadCount(ask.at(1)),
                                .m_extra = ReadCount(ask.at(2))});
    }
    return message;
  });
}

auto EncodeQuotaAnswer(const QuotaAnswerMessage& message) -> std::string {
  auto answers = Json::array();
  for (const auto& answer : message.m_answers) {
    answers.push_back({answer.m_tokens, ToMs(answer.m_lease),
                       ToMs(answer.m_next), ToMs(answer.m_retry_after)});
  }
  return Json{{"leads", message.m_leads},
              {"grants", message.m_grants},
              {"answers", std::move(answers)}}
      .dump();
}

auto DecodeQuotaAnswer(std::string_view text) -> Result<QuotaAnswerMessage> {
  return Parse<QuotaAnswerMessage>(text, [](const Json& json) {
    QuotaAnswerMessage message{.m_leads = json.at("leads").get<bool>(),
                               .m_grants = json.at("grants").get<bool>()};
    for (const auto& answer : json.at("answers")) {
      message.m_answers.push_back({.m_tokens = ReadCount(answer.at(0)),
                                   .m_lease = ReadMs(answer.at(1)),
                                   .m_next = ReadMs(answer.at(2)),
                                   .m_retry_after = ReadMs(answer.at(3))});
    }
    return message;
  });
}

}  // namespace dotterelshed
