#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "dotterelshed/backend_client.h"
#include "http_exchange.h"

namespace dotterelshed {

namespace {

using Json = nlohmann::json;

constexpr auto kAdminTimeout = std::chrono::seconds(1);
constexpr int kHttpNotFound = 404;
constexpr int kHttpPreconditionFailed = 412;

/// One short request to an endpoint; the answer may have any status.
auto Ask(const EndpointConfig& endpoint,
         const std::string& method,
         const std::string& path,
         const std::string& body = "") -> Result<pvt::HttpReply> {
  auto reply = pvt::Exchange(
      {.m_address = endpoint.m_address,
       .m_method = method,
       .m_path = path,
       .m_headers = {{"Content-Type", "application/json"}},
       .m_body = body,
       .m_silence_timeout = kAdminTimeout,
       .m_deadline = std::chrono::steady_clock::now() + kAdminTimeout});
  const auto place = "http://" + endpoint.m_address + path;
  switch (reply.m_end) {
    case pvt::ExchangeEnd::kAnswered:
      return reply;
    case pvt::ExchangeEnd::kNotSent:
      return Fail(ErrorCode::kUnavailable, "no connection", place);
    default:
      return Fail(ErrorCode::kTimeout, "no answer", place);
  }
}

/// The answer's JSON object; any status but success is an error.
auto AskForObject(const EndpointConfig& endpoint, const std::string& path)
    -> Result<Json> {
  const auto reply = Ask(endpoint, "GET", path);
  if (!reply) {
    return tl::unexpected(reply.error());
  }
  auto object = Json::parse(reply->m_body, nullptr, false);
  if (reply->m_status != 200 || !object.is_object()) {
    return Fail(ErrorCode::kUnavailable,
                "status " + std::to_string(reply->m_status),
                "http://" + endpoint.m_address + path);
  }
  return object;
}

/// Member @p name as T, or @p fallback when absent or of another type.
template <typename T>
auto MemberOr(const Json& object, const char* name, T fallback) -> T {
  const auto found = object.find(name);
  if (found == object.end()) {
    return fallback;
  }
  if constexpr (std::is_same_v<T, std::string>) {
    return found->is_string() ? found->get<T>() : fallback;
  } else if constexpr (std::is_same_v<T, bool>) {
    return found->is_boolean() ? found->get<T>() : fallback;
  } else {
    return found->is_number_integer() ? found->get<T>() : fallback;
  }
}

auto ArrayOr(const Json& object, const char* name) -> Json {
  const auto found = object.find(name);
  return found != object.end() && found->is_array() ? *found : Json::array();
}

auto OrderName(OrderKind kind) -> std::string {
  switch (kind) {
    case OrderKind::kLoadModel:
      return "load_model";
    case OrderKind::kUnloadModel:
      return "unload_model";
    case OrderKind::kSetRole:
      return "set_role";
    case OrderKind::kExportKv:
      return "export_kv";
    case OrderKind::kImportKv:
      return "import_kv";
  }
  return "load_model";
}

/// Success, or gone already.
auto DeletedOrGone(const Result<pvt::HttpReply>& reply,
                   const std::string& place) -> Status {
  if (!reply) {
    return tl::unexpected(reply.error());
  }
  if (reply->m_status == 200 || reply->m_status == kHttpNotFound) {
    return {};
  }
  return Fail(ErrorCode::kUnavailable,
              "status " + std::to_string(reply->m_status), place);
}

}  // namespace

auto CancelStream(const EndpointConfig& endpoint, const AttemptId& attempt)
    -> Status {
  const auto path = "/v1/streams/" + attempt.value();
  return DeletedOrGone(Ask(endpoint, "DELETE", path), path);
}

auto ReadLoad(const EndpointConfig& endpoint) -> Result<LoadReport> {
  const auto load = AskForObject(endpoint, "/v1/load");
  if (!load) {
    return tl::unexpected(load.error());
  }
  LoadReport report;
  report.m_endpoint = endpoint.m_id;
  report.m_running = MemberOr(*load, "running", 0);
  report.m_waiting = MemberOr(*load, "waiting", 0);
  report.m_kv_used = Tokens(MemberOr(*load, "kv_used", std::int64_t{0}));
  report.m_kv_capacity =
      Tokens(MemberOr(*load, "kv_capacity", std::int64_t{0}));
  report.m_leaving = MemberOr(*load, "leaving", false);
  for (const auto& model : ArrayOr(*load, "models")) {
    if (model.is_string()) {
      report.m_models.emplace_back(model.get<std::string>());
    }
  }
  return report;
}

auto ReadCacheEvents(const EndpointConfig& endpoint, std::int64_t since)
    -> Result<CacheEvents> {
  const auto answer =
      AskForObject(endpoint, "/v1/cache_events?since=" + std::to_string(since));
  if (!answer) {
    return tl::unexpected(answer.error());
  }
  CacheEvents events;
  events.m_next = MemberOr(*answer, "next", since);
  events.m_report.m_endpoint = endpoint.m_id;
  events.m_report.m_gap = MemberOr(*answer, "gap", false);
  for (const auto& event : ArrayOr(*answer, "events")) {
    if (event.is_object() &&
        MemberOr(event, "type", std::string()) == "evicted") {
      events.m_report.m_evicted.emplace_back(
          MemberOr(event, "hold", std::string()));
    }
  }
  return events;
}

auto ReleaseEngineHold(const EndpointConfig& endpoint, const HoldId& hold)
    -> Status {
  const auto path = "/v1/holds/" + hold.value();
  return DeletedOrGone(Ask(endpoint, "DELETE", path), path);
}

auto ListEngineHolds(const EndpointConfig& endpoint)
    -> Result<std::vector<HoldRecord>> {
  const auto answer = AskForObject(endpoint, "/v1/holds");
  if (!answer) {
    return tl::unexpected(answer.error());
  }
  std::vector<HoldRecord> holds;
  for (const auto& hold : ArrayOr(*answer, "holds")) {
    if (!hold.is_object()) {
      continue;
    }
    holds.push_back(
        {.m_id = HoldId(MemberOr(hold, "id", std::string())),
         .m_endpoint = endpoint.m_id,
         .m_program = ProgramId(MemberOr(hold, "program", std::string()))});
  }
  return holds;
}

auto SendEngineOrder(const EndpointConfig& endpoint, const EndpointOrder& order)
    -> Status {
  const Json body = {{"kind", OrderName(order.m_kind)},
                     {"model", order.m_model.value()},
                     {"version", order.m_version},
                     {"hold", order.m_hold.value()},
                     {"fence", order.m_fence.value()}};
  const auto reply = Ask(endpoint, "POST", "/v1/orders", body.dump());
  if (!reply) {
    return tl::unexpected(reply.error());
  }
  if (reply->m_status == kHttpPreconditionFailed) {
    return Fail(ErrorCode::kForbidden, "the fencing number is too old",
                endpoint.m_address);
  }
  if (reply->m_status != 200) {
    return Fail(ErrorCode::kUnavailable,
                "status " + std::to_string(reply->m_status),
                endpoint.m_address);
  }
  return {};
}

}  // namespace dotterelshed
