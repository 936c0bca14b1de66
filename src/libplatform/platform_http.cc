#include "platform_http.h"

#include <array>
#include <atomic>
#include <cstdlib>
#include <string_view>

#include "dotterelshed/metrics.h"

namespace dotterelshed {

namespace pvt {

namespace {

constexpr auto kVerbCount = 5;
constexpr auto kApiRoot = "/apis/dotterelshed/v1/";

auto Counters() -> std::array<std::atomic<std::int64_t>, kVerbCount>& {
  static std::array<std::atomic<std::int64_t>, kVerbCount> counters{};
  return counters;
}

auto CountOf(PlatformVerb verb) -> std::int64_t {
  return Counters()[static_cast<std::size_t>(verb)].load();
}

}  // namespace

auto CountCall(PlatformVerb verb) -> void {
  constexpr std::array<std::string_view, 5> kNames{"get", "list", "put",
                                                   "delete", "watch"};
  Counters()[static_cast<std::size_t>(verb)].fetch_add(1);
  CountMetric(MetricId::kPlatformCalls,
              kNames.at(static_cast<std::size_t>(verb)));
}

auto MakeClient(const PlatformOptions& options, Duration read_timeout)
    -> httplib::Client {
  const auto colon = options.m_address.rfind(':');
  const auto host = options.m_address.substr(0, colon);
  const auto port = colon == std::string::npos
                        ? 0
                        : std::atoi(options.m_address.c_str() + colon + 1);
  httplib::Client client(host, port);
  client.set_connection_timeout(options.m_timeout);
  client.set_write_timeout(options.m_timeout);
  client.set_read_timeout(read_timeout);
  client.set_tcp_nodelay(true);
  return client;
}

auto ObjectPath(const std::string& kind, const std::string& name)
    -> std::string {
  const auto path = kApiRoot + kind;
  return name.empty() ? path : path + "/" + name;
}

auto ParseObject(const Json& json) -> Result<PlatformObject> {
  const auto place = std::string("platform object");
  if (!json.is_object() || !json.contains("metadata") ||
      !json["metadata"].is_object()) {
    return Fail(ErrorCode::kInternal, "object without metadata", place);
  }
  const auto& metadata = json["metadata"];
  const auto name = metadata.value("name", Json());
  const auto version = metadata.value("resourceVersion", Json());
  if (!name.is_string() || !version.is_string()) {
    return Fail(ErrorCode::kInternal, "object without name or version", place);
  }
  const auto kind = json.value("kind", Json());
  return PlatformObject{
      .m_kind = kind.is_string() ? kind.get<std::string>() : "",
      .m_name = name.get<std::string>(),
      .m_version =
          ResourceVersion(std::atoll(version.get<std::string>().c_str())),
      .m_value = json.value("spec", Json::object()).dump()};
}

auto StatusError(int status, const std::string& place)
    -> tl::unexpected<Error> {
  const auto message = "the platform answered " + std::to_string(status);
  switch (status) {
    case 404:
      return Fail(ErrorCode::kNotFound, message, place);
    case 409:
      return Fail(ErrorCode::kConflict, message, place);
    case 410:
      return Fail(ErrorCode::kGone, message, place);
    case 413:
      return Fail(ErrorCode::kLimit, message, place);
    case 429:
    case 503:
      return Fail(ErrorCode::kUnavailable, message, place);
    default:
      return Fail(status >= 500 ? ErrorCode::kTimeout : ErrorCode::kInternal,
                  message, place);
  }
}

}  // namespace pvt

auto CountPlatformCalls() -> PlatformCallCounts {
  using pvt::PlatformVerb;
  return {.m_gets = pvt::CountOf(PlatformVerb::kGet),
          .m_lists = pvt::CountOf(PlatformVerb::kList),
          .m_puts = pvt::CountOf(PlatformVerb::kPut),
          .m_deletes = pvt::CountOf(PlatformVerb::kDelete),
          .m_watches = pvt::CountOf(PlatformVerb::kWatch)};
}

}  // namespace dotterelshed
