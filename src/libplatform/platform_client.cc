#include "dotterelshed/platform_client.h"

#include <atomic>

#include "platform_http.h"

namespace dotterelshed {

namespace {

using pvt::Json;
using pvt::PlatformVerb;

/// Reads after a write whose answer was lost.
constexpr auto kReadsAfterLostAnswer = 2;

/// Unique within this process; m_writer makes it unique beyond.
auto NextNonce(const PlatformOptions& options) -> std::string {
  static std::atomic<std::int64_t> count{0};
  return options.m_writer + "/" + std::to_string(count.fetch_add(1) + 1);
}

auto TransportError(httplib::Error error, const std::string& place)
    -> tl::unexpected<Error> {
  const auto not_sent = error == httplib::Error::Connection ||
                        error == httplib::Error::ConnectionTimeout;
  return Fail(not_sent ? ErrorCode::kUnavailable : ErrorCode::kTimeout,
              "no answer from the platform: " + httplib::to_string(error),
              place);
}

auto ParseBody(const std::string& body, const std::string& place)
    -> Result<Json> {
  auto json = Json::parse(body, nullptr, false);
  if (json.is_discarded()) {
    return Fail(ErrorCode::kInternal, "the platform's answer is not JSON",
                place);
  }
  return json;
}

auto ReadJson(const PlatformOptions& options, const std::string& path)
    -> Result<Json> {
  auto client = pvt::MakeClient(options, options.m_timeout);
  const auto answer = client.Get(path);
  if (!answer) {
    return TransportError(answer.error(), path);
  }
  if (answer->status != 200) {
    return pvt::StatusError(answer->status, path);
  }
  return ParseBody(answer->body, path);
}

auto VersionOf(const Json& json) -> Result<ResourceVersion> {
  const auto object = pvt::ParseObject(json);
  if (!object) {
    return tl::unexpected<Error>(object.error());
  }
  return object->m_version;
}

auto WriterOf(const Json& json) -> std::string {
  const auto metadata = json.value("metadata", Json::object());
  const auto annotations = metadata.value("annotations", Json::object());
  return annotations.value("writer", "");
}

/// Finds out whether the write marked @p nonce took effect, as far as the
/// object still shows it.
auto FindOwnWrite(const PlatformOptions& options,
                  const PlatformObject& object,
                  const std::string& nonce) -> Result<ResourceVersion> {
  const auto path = pvt::ObjectPath(object.m_kind, object.m_name);
  for (auto i = 0; i < kReadsAfterLostAnswer; ++i) {
    pvt::CountCall(PlatformVerb::kGet);
    const auto json = ReadJson(options, path);
    if (json && WriterOf(*json) == nonce) {
      return VersionOf(*json);
    }
  }
  return Fail(ErrorCode::kTimeout, "the answer to a write was lost", path);
}

auto ToBody(const PlatformObject& object, const std::string& nonce)
    -> Result<std::string> {
  auto spec = ParseBody(object.m_value, object.m_kind + "/" + object.m_name);
  if (!spec) {
    return tl::unexpected<Error>(spec.error());
  }
  const Json body{
      {"kind", object.m_kind},
      {"metadata",
       {{"name", object.m_name},
        {"resourceVersion", std::to_string(object.m_version.value())},
        {"annotations", {{"writer", nonce}}}}},
      {"spec", *spec}};
  return body.dump();
}

auto SendPut(const PlatformOptions& options,
             const PlatformObject& object,
             const std::string& body) -> httplib::Result {
  auto client = pvt::MakeClient(options, options.m_timeout);
  if (object.m_version.value() == 0) {
    return client.Post(pvt::ObjectPath(object.m_kind), body,
                       "application/json");
  }
  return client.Put(pvt::ObjectPath(object.m_kind, object.m_name), body,
                    "application/json");
}

}  // namespace

auto GetObject(const PlatformOptions& options,
               const std::string& kind,
               const std::string& name) -> Result<PlatformObject> {
  pvt::CountCall(PlatformVerb::kGet);
  const auto json = ReadJson(options, pvt::ObjectPath(kind, name));
  if (!json) {
    return tl::unexpected<Error>(json.error());
  }
  return pvt::ParseObject(*json);
}

auto ListObjects(const PlatformOptions& options, const std::string& kind)
    -> Result<PlatformList> {
  pvt::CountCall(PlatformVerb::kList);
  const auto json = ReadJson(options, pvt::ObjectPath(kind));
  if (!json) {
    return tl::unexpected<Error>(json.error());
  }
  PlatformList list;
  const auto metadata = json->value("metadata", Json::object());
  list.m_version = ResourceVersion(
      std::atoll(metadata.value("resourceVersion", "0").c_str()));
  for (const auto& item : json->value("items", Json::array())) {
    auto object = pvt::ParseObject(item);
    if (!object) {
      return tl::unexpected<Error>(object.error());
    }
    list.m_objects.push_back(std::move(*object));
  }
  return list;
}

auto PutObject(const PlatformOptions& options, const PlatformObject& object)
    -> Result<ResourceVersion> {
  const auto place = pvt::ObjectPath(object.m_kind, object.m_name);
  const auto nonce = NextNonce(options);
  const auto body = ToBody(object, nonce);
  if (!body) {
    return tl::unexpected<Error>(body.error());
  }
  pvt::CountCall(PlatformVerb::kPut);
  const auto answer = SendPut(options, object, *body);
  auto failure = Error{};
  if (!answer) {
    failure = TransportError(answer.error(), place).value();
  } else if (answer->status == 200 || answer->status == 201) {
    const auto json = ParseBody(answer->body, place);
    return json ? VersionOf(*json) : FindOwnWrite(options, object, nonce);
  } else {
    failure = pvt::StatusError(answer->status, place).value();
  }
  if (failure.m_code == ErrorCode::kTimeout) {
    return FindOwnWrite(options, object, nonce);
  }
  if (failure.m_code == ErrorCode::kNotFound) {
    failure.m_code = ErrorCode::kConflict;
  }
  return tl::unexpected<Error>(failure);
}

auto DeleteObject(const PlatformOptions& options, const PlatformObject& object)
    -> Status {
  pvt::CountCall(PlatformVerb::kDelete);
  auto path = pvt::ObjectPath(object.m_kind, object.m_name);
  if (object.m_version.value() != 0) {
    path += "?resourceVersion=" + std::to_string(object.m_version.value());
  }
  auto client = pvt::MakeClient(options, options.m_timeout);
  const auto answer = client.Delete(path);
  if (!answer) {
    return TransportError(answer.error(), path);
  }
  if (answer->status != 200) {
    return pvt::StatusError(answer->status, path);
  }
  return {};
}

}  // namespace dotterelshed
