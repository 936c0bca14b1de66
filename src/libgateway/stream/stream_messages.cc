#include "stream/stream_messages.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "lead/message_ids.h"

namespace dotterelshed {

namespace {

using Json = nlohmann::json;

/// Bound of lifetimes in messages.
constexpr std::int64_t kMaxLifetimeMs = 600000;

/// Runs @p decode; a missing or mistyped member is returned as
/// kInvalidArgument.
template <typename T, typename Decode>
auto Parse(std::string_view text, Decode decode) -> Result<T> {
  try {
    return decode(Json::parse(text, nullptr, false));
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what(), "stream message");
  }
}

}  // namespace

auto EncodeStreamBegun(const StreamBegun& begun) -> std::string {
  const auto lifetime =
      std::chrono::ceil<std::chrono::milliseconds>(begun.m_lifetime);
  return Json{{"attempt", WriteId(begun.m_attempt)},
              {"software", WriteId(begun.m_software)},
              {"lifetime_ms", lifetime.count()}}
      .dump();
}

auto DecodeStreamBegun(std::string_view text) -> Result<StreamBegun> {
  return Parse<StreamBegun>(text, [](const Json& json) {
    const auto lifetime = std::clamp<std::int64_t>(
        json.at("lifetime_ms").get<std::int64_t>(), 0, kMaxLifetimeMs);
    return StreamBegun{
        .m_attempt = ReadId<RequestId>(json.at("attempt")),
        .m_software = ReadId<SoftwareVersion>(json.at("software")),
        .m_lifetime = std::chrono::milliseconds(lifetime)};
  });
}

auto EncodeStreamQuestion(const StreamQuestion& question) -> std::string {
  return Json{{"attempt", WriteId(question.m_attempt)}}.dump();
}

auto DecodeStreamQuestion(std::string_view text) -> Result<StreamQuestion> {
  return Parse<StreamQuestion>(text, [](const Json& json) {
    return StreamQuestion{.m_attempt = ReadId<RequestId>(json.at("attempt"))};
  });
}

auto EncodeStreamAnswer(const StreamAnswer& answer) -> std::string {
  return Json{{"software", answer.m_software ? Json(WriteId(*answer.m_software))
                                             : Json(nullptr)}}
      .dump();
}

auto DecodeStreamAnswer(std::string_view text) -> Result<StreamAnswer> {
  return Parse<StreamAnswer>(text, [](const Json& json) {
    StreamAnswer answer;
    if (const auto& software = json.at("software"); !software.is_null()) {
      answer.m_software = ReadId<SoftwareVersion>(software);
    }
    return answer;
  });
}

}  // namespace dotterelshed
