#include "view/view_messages.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace dotterelshed {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kPlace = "view message";

auto ReadKind(const std::string& name) -> Result<ObjectKind> {
  for (const auto kind : {ObjectKind::kEndpoints, ObjectKind::kConfig,
                          ObjectKind::kDiskHosts, ObjectKind::kLeads}) {
    if (KindName(kind) == name) {
      return kind;
    }
  }
  return Fail(ErrorCode::kInvalidArgument, "unknown kind '" + name + "'",
              std::string(kPlace));
}

auto ReadObjects(const Json& json) -> Result<std::vector<StoredObject>> {
  std::vector<StoredObject> objects;
  for (const auto& one : json) {
    auto object = DecodeObject(one);
    if (!object) {
      return tl::unexpected(object.error());
    }
    objects.push_back(std::move(*object));
  }
  return objects;
}

auto ToMs(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

auto ReadMs(const Json& json) -> Duration {
  return std::chrono::milliseconds(json.get<std::int64_t>());
}

auto ReadVersion(const Json& json) -> ResourceVersion {
  return ResourceVersion(json.get<std::int64_t>());
}

}  // namespace

auto EncodeViewRequest(const ViewRequest& request) -> std::string {
  Json json = {{"kind", KindName(request.m_kind)},
               {"version", request.m_version.value()},
               {"accepts_partial", request.m_accepts_partial}};
  if (!request.m_host_address.empty()) {
    json["host_address"] = request.m_host_address;
    json["can_relay"] = request.m_can_relay;
  }
  return json.dump();
}

auto DecodeViewRequest(std::string_view text) -> Result<ViewRequest> {
  try {
    const auto json = Json::parse(text);
    return ReadKind(json.at("kind").get<std::string>()).map([&](auto kind) {
      return ViewRequest{
          .m_kind = kind,
          .m_version = ReadVersion(json.at("version")),
          .m_accepts_partial = json.value("accepts_partial", false),
          .m_host_address = json.value("host_address", std::string()),
          .m_can_relay = json.value("can_relay", false)};
    });
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what(), std::string(kPlace));
  }
}

auto EncodeViewObjects(const std::vector<const StoredObject*>& objects)
    -> std::string {
  auto json = Json::array();
  for (const auto* object : objects) {
    json.push_back(EncodeObject(*object));
  }
  return json.dump();
}

auto EncodeViewResponse(const ViewResponse& response, std::string_view objects)
    -> std::string {
  return fmt::format(
      R"({{"version":{},"age_ms":{},"hold_ms":{},"limit_changes":{},)"
      R"("partial":{},"removed":{},"objects":{}}})",
      response.m_version.value(), ToMs(response.m_age), ToMs(response.m_hold),
      response.m_limit_changes, response.m_partial,
      Json(response.m_removed).dump(), objects.empty() ? "null" : objects);
}

auto DecodeViewResponse(std::string_view text) -> Result<ViewResponse> {
  try {
    const auto json = Json::parse(text);
    ViewResponse response{.m_version = ReadVersion(json.at("version")),
                          .m_age = ReadMs(json.at("age_ms")),
                          .m_hold = ReadMs(json.at("hold_ms"))};
    response.m_limit_changes = json.value("limit_changes", std::int64_t{0});
    response.m_partial = json.value("partial", false);
    response.m_removed = json.value("removed", std::vector<std::string>());
    if (const auto& objects = json.at("objects"); !objects.is_null()) {
      auto read = ReadObjects(objects);
      if (!read) {
        return tl::unexpected(read.error());
      }
      response.m_objects = std::move(*read);
    }
    return response;
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what(), std::string(kPlace));
  }
}

}  // namespace dotterelshed
