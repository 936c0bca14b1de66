#include "object_store.h"

namespace dotterelshed::standins {

namespace {

constexpr std::size_t kMaxObjectBytes = std::size_t{1024} * 1024;

auto Failure(int status, const std::string& message) -> StoreAnswer {
  return {status,
          Json{{"kind", "Status"}, {"code", status}, {"message", message}}};
}

auto VersionOf(const Json& object) -> std::string {
  const auto metadata = object.value("metadata", Json::object());
  const auto found = metadata.find("resourceVersion");
  if (found == metadata.end()) {
    return "";
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

}  // namespace

auto ObjectStore::Get(const std::string& kind, const std::string& name)
    -> StoreAnswer {
  const std::lock_guard lock(m_mutex);
  const auto& objects = m_objects[kind];
  const auto found = objects.find(name);
  if (found == objects.end()) {
    return Failure(404, kind + "/" + name + " does not exist");
  }
  return {200, found->second};
}

auto ObjectStore::List(const std::string& kind) -> StoreAnswer {
  const std::lock_guard lock(m_mutex);
  const auto [objects, version] =
      ObjectsBefore(kind, Clock::now() - LagOf(kind));
  auto items = Json::array();
  for (const auto& [name, object] : objects) {
    items.push_back(object);
  }
  return {200,
          Json{{"kind", "List"},
               {"metadata", {{"resourceVersion", std::to_string(version)}}},
               {"items", items}}};
}

auto ObjectStore::Put(const std::string& kind,
                      const std::string& name,
                      Json object) -> StoreAnswer {
  if (object.dump().size() > kMaxObjectBytes) {
    return Failure(413, "object is larger than a megabyte");
  }
  const std::lock_guard lock(m_mutex);
  auto& objects = m_objects[kind];
  const auto found = objects.find(name);
  const auto expected = VersionOf(object);
  if (found == objects.end() && !expected.empty() && expected != "0") {
    return Failure(404, kind + "/" + name + " does not exist");
  }
  if (found != objects.end() && !expected.empty() &&
      expected != VersionOf(found->second)) {
    return Failure(
        409, kind + "/" + name + " is at version " + VersionOf(found->second));
  }
  const auto existed = found != objects.end();
  object["kind"] = kind;
  object["metadata"]["name"] = name;
  object["metadata"]["resourceVersion"] = std::to_string(m_version + 1);
  objects[name] = object;
  Record(kind, existed ? "MODIFIED" : "ADDED", object);
  return {existed ? 200 : 201, object};
}

auto ObjectStore::Delete(const std::string& kind,
                         const std::string& name,
                         const std::string& version) -> StoreAnswer {
  const std::lock_guard lock(m_mutex);
  auto& objects = m_objects[kind];
  const auto found = objects.find(name);
  if (found == objects.end()) {
    return Failure(404, kind + "/" + name + " does not exist");
  }
  if (!version.empty() && version != VersionOf(found->second)) {
    return Failure(
        409, kind + "/" + name + " is at version " + VersionOf(found->second));
  }
  auto object = found->second;
  object["metadata"]["resourceVersion"] = std::to_string(m_version + 1);
  objects.erase(found);
  Record(kind, "DELETED", object);
  return {200, object};
}

auto ObjectStore::Changes(const std::string& kind,
                          std::int64_t after,
                          std::chrono::milliseconds wait,
                          std::vector<StoreChange>& changes) -> bool {
  std::unique_lock lock(m_mutex);
  const auto deadline = Clock::now() + wait;
  while (true) {
    if (after < m_forgotten) {
      return false;
    }
    const auto visible = Clock::now() - LagOf(kind);
    for (const auto& change : m_history) {
      if (change.m_kind == kind && change.m_version > after &&
          change.m_at <= visible) {
        changes.push_back(change);
      }
    }
    if (!changes.empty() || Clock::now() >= deadline) {
      return true;
    }
    m_changed.wait_until(lock, deadline);
  }
}

auto ObjectStore::SetLag(const std::string& kind, std::chrono::milliseconds lag)
    -> void {
  const std::lock_guard lock(m_mutex);
  m_lags[kind] = lag;
}

auto ObjectStore::LagOf(const std::string& kind) const
    -> std::chrono::milliseconds {
  const auto found = m_lags.find(kind);
  return found == m_lags.end() ? std::chrono::milliseconds(0) : found->second;
}

auto ObjectStore::Record(const std::string& kind,
                         const char* type,
                         const Json& object) -> void {
  ++m_version;
  m_history.push_back({.m_version = m_version,
                       .m_kind = kind,
                       .m_event = {{"type", type}, {"object", object}},
                       .m_at = Clock::now()});
  while (m_history.size() > m_history_limit) {
    m_forgotten = m_history.front().m_version;
    m_history.pop_front();
  }
  m_changed.notify_all();
}

/// Undoes, newest first, the changes of a kind that came after @p limit, as
/// far as the history reaches.
auto ObjectStore::ObjectsBefore(const std::string& kind,
                                Clock::time_point limit) const
    -> std::pair<Objects, std::int64_t> {
  const auto found = m_objects.find(kind);
  auto objects = found == m_objects.end() ? Objects{} : found->second;
  auto version = m_version;
  std::map<std::string, Json> last_visible;
  std::map<std::string, bool> changed_later;
  for (const auto& change : m_history) {
    if (change.m_kind != kind) {
      continue;
    }
    const auto& object = change.m_event["object"];
    const auto name = object["metadata"]["name"].get<std::string>();
    if (change.m_at <= limit) {
      last_visible[name] = change.m_event;
      continue;
    }
    if (changed_later.empty()) {
      version = change.m_version - 1;
    }
    changed_later[name] = true;
  }
  for (const auto& [name, later] : changed_later) {
    const auto before = last_visible.find(name);
    objects.erase(name);
    if (before != last_visible.end() && before->second["type"] != "DELETED") {
      objects[name] = before->second["object"];
    }
  }
  return {objects, version};
}

}  // namespace dotterelshed::standins
