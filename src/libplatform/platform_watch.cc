#include <string>

#include "platform_http.h"

namespace dotterelshed {

namespace {

using pvt::Json;

/// Splits a stream of JSON lines into events and keeps the position reached.
class WatchReader {
 public:
  WatchReader(ResourceVersion from,
              const std::atomic<bool>& stop,
              const std::function<void(const WatchEvent&)>& on_event)
      : m_position(from), m_stop(stop), m_on_event(on_event) {}

  auto position() const -> ResourceVersion { return m_position; }

  /// Forgets half a line of a connection that broke.
  auto StartConnection() -> void { m_rest.clear(); }

  /// @return false to end the connection
  auto Take(const char* data, std::size_t size) -> bool {
    m_rest.append(data, size);
    auto start = std::size_t{0};
    auto end = m_rest.find('\n');
    while (end != std::string::npos) {
      if (m_stop || !TakeLine(m_rest.substr(start, end - start))) {
        return false;
      }
      start = end + 1;
      end = m_rest.find('\n', start);
    }
    m_rest.erase(0, start);
    return !m_stop;
  }

 private:
  auto TakeLine(const std::string& line) -> bool {
    const auto json = Json::parse(line, nullptr, false);
    if (!json.is_object() || !json.contains("object")) {
      return false;
    }
    auto object = pvt::ParseObject(json["object"]);
    if (!object) {
      return false;
    }
    m_position = std::max(m_position, object->m_version);
    m_on_event({.m_deleted = json.value("type", "") == "DELETED",
                .m_object = std::move(*object)});
    return true;
  }

  ResourceVersion m_position;
  const std::atomic<bool>& m_stop;
  const std::function<void(const WatchEvent&)>& m_on_event;
  std::string m_rest;
};

auto WatchPath(const std::string& kind, ResourceVersion from) -> std::string {
  return pvt::ObjectPath(kind) +
         "?watch=1&resourceVersion=" + std::to_string(from.value());
}

/// One connection of a watch: ends without error when it should be replaced.
auto WatchOnce(const PlatformOptions& options,
               const std::string& kind,
               WatchReader& reader) -> Status {
  pvt::CountCall(pvt::PlatformVerb::kWatch);
  const auto path = WatchPath(kind, reader.position());
  auto client = pvt::MakeClient(options, options.m_watch_silence);
  auto status = 0;
  reader.StartConnection();
  const auto answer = client.Get(
      path,
      [&status](const httplib::Response& response) {
        status = response.status;
        return status == 200;
      },
      [&reader](const char* data, std::size_t size) {
        return reader.Take(data, size);
      });
  if (status != 0 && status != 200) {
    return pvt::StatusError(status, path);
  }
  if (status == 0) {
    return Fail(ErrorCode::kUnavailable,
                "no answer to a watch: " + httplib::to_string(answer.error()),
                path);
  }
  return {};
}

}  // namespace

auto WatchObjects(const PlatformOptions& options,
                  const std::string& kind,
                  ResourceVersion from,
                  const std::atomic<bool>& stop,
                  const std::function<void(const WatchEvent&)>& on_event)
    -> Status {
  WatchReader reader(from, stop, on_event);
  while (!stop) {
    auto status = WatchOnce(options, kind, reader);
    if (!status) {
      return status;
    }
  }
  return {};
}

}  // namespace dotterelshed
