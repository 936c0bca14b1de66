#include "view_messages.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace dotterelshed {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kPlace = "view message";

auto ReadKind(const std::string& name) -> Result<ObjectKind> {
  for (const auto kind : {ObjectKind::kEndpoints, ObjectKind::kConfig}) {
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

auto EncodeViewQuestion(const ViewQuestion& question) -> std::string {
  return Json{{"kind", KindName(question.m_kind)},
              {"version", question.m_version.value()}}
      .dump();
}

auto DecodeViewQuestion(std::string_view text) -> Result<ViewQuestion> {
  try {
    const auto json = Json::parse(text);
    return ReadKind(json.at("kind").get<std::string>()).map([&](auto kind) {
      return ViewQuestion{.m_kind = kind,
                          .m_version = ReadVersion(json.at("version"))};
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

auto EncodeViewAnswer(const ViewAnswer& answer, std::string_view objects)
    -> std::string {
  return fmt::format(
      R"({{"version":{},"age_ms":{},"hold_ms":{},"objects":{}}})",
      answer.m_version.value(), ToMs(answer.m_age), ToMs(answer.m_hold),
      objects.empty() ? "null" : objects);
}

auto DecodeViewAnswer(std::string_view text) -> Result<ViewAnswer> {
  try {
    const auto json = Json::parse(text);
    ViewAnswer answer{.m_version = ReadVersion(json.at("version")),
                      .m_age = ReadMs(json.at("age_ms")),
                      .m_hold = ReadMs(json.at("hold_ms"))};
    if (const auto& objects = json.at("objects"); !objects.is_null()) {
      auto read = ReadObjects(objects);
      if (!read) {
        return tl::unexpected(read.error());
      }
      answer.m_objects = std::move(*read);
    }
    return answer;
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what(), std::string(kPlace));
  }
}

}  // namespace dotterelshed
