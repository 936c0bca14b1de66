#include "crash/crash_messages.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace dotterelshed {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kPlace = "crash message";

constexpr auto kEvidences = std::to_array<CrashEvidence>(
    {CrashEvidence::kUnproved, CrashEvidence::kConnectionLost,
     CrashEvidence::kEndpointEnded, CrashEvidence::kWithdrawn});

auto ToMs(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

auto ReadMs(const Json& json) -> Duration {
  return std::chrono::milliseconds(json.get<std::int64_t>());
}

/// Converts between times of this host's clock and ages in messages.
struct MessageClock {
  TimePoint m_now;

  auto ToAge(TimePoint time) const -> std::int64_t {
    return ToMs(m_now - time);
  }
  auto FromAge(const Json& age) const -> TimePoint {
    return m_now - ReadMs(age);
  }
};

auto ReadEvidence(const std::string& name) -> CrashEvidence {
  const auto* found = std::find_if(
      kEvidences.begin(), kEvidences.end(),
      [&name](CrashEvidence one) { return ToString(one) == name; });
  return found == kEvidences.end() ? CrashEvidence::kUnproved : *found;
}

auto WriteLost(const LostAttempt& lost, const MessageClock& clock) -> Json {
  return {{"id", lost.m_id.m_bits},
          {"caller", lost.m_caller.m_bits},
          {"endpoint", lost.m_endpoint.m_bits},
          {"age_ms", clock.ToAge(lost.m_at)},
          {"running_ms", ToMs(lost.m_running)},
          {"evidence", ToString(lost.m_evidence)}};
}

auto ReadLost(const Json& json, const MessageClock& clock) -> LostAttempt {
  return {.m_id = {json.at("id").get<std::uint64_t>()},
          .m_caller = {json.at("caller").get<std::uint64_t>()},
          .m_endpoint = {json.at("endpoint").get<std::uint64_t>()},
          .m_at = clock.FromAge(json.at("age_ms")),
          .m_running = ReadMs(json.at("running_ms")),
          .m_evidence = ReadEvidence(json.at("evidence"))};
}

auto WriteQuarantine(const Quarantine& quarantine, const MessageClock& clock)
    -> Json {
  const auto& caller = quarantine.m_caller;
  return {{"caller", caller ? Json(caller->m_bits) : Json()},
          {"age_ms", clock.ToAge(quarantine.m_since)},
          {"left_ms", ToMs(quarantine.m_until - clock.m_now)}};
}

auto ReadQuarantine(const Json& json, const MessageClock& clock) -> Quarantine {
  Quarantine quarantine;
  if (!json.at("caller").is_null()) {
    quarantine.m_caller = CallerDigest{json.at("caller").get<std::uint64_t>()};
  }
  quarantine.m_since = clock.FromAge(json.at("age_ms"));
  quarantine.m_until = clock.m_now + ReadMs(json.at("left_ms"));
  quarantine.m_proved = true;
  return quarantine;
}

auto WriteContent(const DigestedContent& item, const MessageClock& clock)
    -> Json {
  const auto& [digest, content] = item;
  auto lost = Json::array();
  for (const auto& one : content.m_lost) {
    if (one.m_evidence != CrashEvidence::kUnproved) {
      lost.push_back(WriteLost(one, clock));
    }
  }
  auto served = Json::array();
  for (const auto& [caller, at] : content.m_served) {
    served.push_back({{"caller", caller.m_bits}, {"age_ms", clock.ToAge(at)}});
  }
  const auto& quarantine = content.m_quarantine;
  const auto proved = quarantine && quarantine->m_proved &&
                      IsAttributionFinal(*quarantine, clock.m_now);
  return {
      {"high", digest.m_high},
      {"low", digest.m_low},
      {"seen_ms", clock.ToAge(content.m_last_seen)},
      {"served_ms", clock.ToAge(content.m_served_to_any)},
      {"lost", std::move(lost)},
      {"served", std::move(served)},
      {"quarantine", proved ? WriteQuarantine(*quarantine, clock) : Json()}};
}

auto ReadContent(const Json& json, const MessageClock& clock)
    -> DigestedContent {
  SuspectContent content;
  content.m_last_seen = clock.FromAge(json.at("seen_ms"));
  content.m_served_to_any = clock.FromAge(json.at("served_ms"));
  for (const auto& one : json.at("lost")) {
    content.m_lost.push_back(ReadLost(one, clock));
  }
  for (const auto& one : json.at("served")) {
    content.m_served[{one.at("caller").get<std::uint64_t>()}] =
        clock.FromAge(one.at("age_ms"));
  }
  if (!json.at("quarantine").is_null()) {
    content.m_quarantine = ReadQuarantine(json.at("quarantine"), clock);
  }
  const ContentDigest digest{.m_high = json.at("high").get<std::uint64_t>(),
                             .m_low = json.at("low").get<std::uint64_t>()};
  return {digest, std::move(content)};
}

/// Runs @p read on a message; a missing or mistyped member is returned as
/// kInvalidArgument.
template <typename T, typename Read>
auto Parse(std::string_view text, Read read) -> Result<T> {
  try {
    return read(Json::parse(text));
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what(), std::string(kPlace));
  }
}

}  // namespace

auto EncodeCrashUpdateRequest(const CrashUpdateRequest& request)
    -> std::string {
  return Json{{"incarnation", request.m_incarnation.value()},
              {"version", request.m_version},
              {"wait_ms", ToMs(request.m_wait)}}
      .dump();
}

auto DecodeCrashUpdateRequest(std::string_view text)
    -> Result<CrashUpdateRequest> {
  return Parse<CrashUpdateRequest>(text, [](const Json& json) {
    return CrashUpdateRequest{
        .m_incarnation =
            Incarnation(json.at("incarnation").get<std::int64_t>()),
        .m_version = json.at("version").get<std::uint64_t>(),
        .m_wait = ReadMs(json.at("wait_ms"))};
  });
}

auto EncodeCrashUpdate(const CrashUpdate& update, TimePoint now)
    -> std::string {
  const MessageClock clock{now};
  auto contents = Json::array();
  for (const auto& item : update.m_contents) {
    contents.push_back(WriteContent(item, clock));
  }
  return Json{{"incarnation", update.m_incarnation.value()},
              {"version", update.m_version},
              {"contents", std::move(contents)}}
      .dump();
}

auto DecodeCrashUpdate(std::string_view text, TimePoint now)
    -> Result<CrashUpdate> {
  return Parse<CrashUpdate>(text, [now](const Json& json) {
    const MessageClock clock{now};
    CrashUpdate update;
    update.m_incarnation =
        Incarnation(json.at("incarnation").get<std::int64_t>());
    update.m_version = json.at("version").get<std::uint64_t>();
    for (const auto& one : json.at("contents")) {
      update.m_contents.push_back(ReadContent(one, clock));
    }
    return update;
  });
}

}  // namespace dotterelshed
