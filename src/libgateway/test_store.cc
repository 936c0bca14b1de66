#include "test_store.h"

#include <utility>

#include "dotterelshed/steady_time.h"

namespace dotterelshed {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kRoot = "/v1/objects/";

/// Value of a numeric query parameter; 0 if it is missing.
auto QueryNumber(const std::string& query, const std::string& name)
    -> std::int64_t {
  const auto begin = query.find(name + "=");
  return begin == std::string::npos
             ? 0
             : std::atoll(query.c_str() + begin + name.size() + 1);
}

}  // namespace

TestStore::TestStore(EventLoop& loop)
    : m_listener(loop,
                 [this](const std::shared_ptr<ServerConnection>& connection,
                        const IncomingRequest& request) {
                   OnRequest(connection, request);
                 }) {}

auto TestStore::Listen(const TcpAddress& address) -> Status {
  return m_listener.Listen(address);
}

auto TestStore::Reply(const std::shared_ptr<ServerConnection>& connection,
                      int status,
                      const Json& body) const -> void {
  auto text = body.dump();
  for (const auto& [placeholder, raw] : m_raw_specs) {
    const auto quoted = '"' + placeholder + '"';
    const auto at = text.find(quoted);
    if (at != std::string::npos) {
      text.replace(at, quoted.size(), raw);
    }
  }
  connection->Answer(status, {{"Content-Type", "application/json"}}, text);
}

auto TestStore::PutRaw(const std::string& kind,
                       const std::string& name,
                       const std::string& spec) -> void {
  const auto placeholder = "raw " + kind + " " + name;
  m_raw_specs[placeholder] = spec;
  Put(kind, name, placeholder);
}

auto TestStore::Store(const std::string& kind,
                      const std::string& name,
                      Json object,
                      bool removed) -> void {
  ++m_version;
  object["metadata"]["name"] = name;
  object["metadata"]["revision"] = m_version;
  m_history.push_back(
      {kind, m_version, {{"removed", removed}, {"object", object}}});
  if (removed) {
    m_objects[kind].erase(name);
  } else {
    m_objects[kind][name] = std::move(object);
  }
  NotifyWatches();
}

auto TestStore::Put(const std::string& kind,
                    const std::string& name,
                    const Json& spec) -> void {
  Store(kind, name, {{"spec", spec}}, false);
}

auto TestStore::Remove(const std::string& kind, const std::string& name)
    -> void {
  Store(kind, name, Find(kind, name), true);
}

auto TestStore::Find(const std::string& kind, const std::string& name) -> Json {
  const auto& objects = m_objects[kind];
  const auto found = objects.find(name);
  return found == objects.end() ? Json() : found->second;
}

auto TestStore::OnRequest(const std::shared_ptr<ServerConnection>& connection,
                          const IncomingRequest& request) -> void {
  const auto& target = request.m_head.m_target;
  for (const auto& [kind, delay] : m_delays) {
    const auto prefix = std::string(kRoot) + kind;
    if (target.starts_with(prefix)) {
      m_delayed.push_back({connection, request, SteadyTime() + delay});
      return;
    }
  }
  Handle(connection, request);
}

auto TestStore::HandleDelayed(TimePoint now) -> void {
  while (!m_delayed.empty() && m_delayed.front().m_due <= now) {
    const auto delayed = std::move(m_delayed.front());
    m_delayed.pop_front();
    Handle(delayed.m_connection, delayed.m_request);
  }
}

auto TestStore::Handle(const std::shared_ptr<ServerConnection>& connection,
                       const IncomingRequest& request) -> void {
  const auto& target = request.m_head.m_target;
  if (m_down || !target.starts_with(kRoot)) {
    ++m_refused;
    Reply(connection, m_down ? 503 : 404, {{"error", "refused"}});
    return;
  }
  const auto query_start = target.find('?');
  auto path = target.substr(kRoot.size(), query_start - kRoot.size());
  const auto query =
      query_start == std::string::npos ? "" : target.substr(query_start + 1);
  const auto status = path.ends_with("/status");
  if (status) {
    path.resize(path.size() - std::string_view("/status").size());
  }
  const auto slash = path.find('/');
  const auto kind = path.substr(0, slash);
  const auto name =
      slash == std::string::npos ? std::string() : path.substr(slash + 1);
  ++m_calls[kind];
  if (request.m_head.m_method == "GET") {
    OnRead(connection, kind, name, query);
  } else {
    OnWrite(connection, request, kind, name, status);
  }
}

auto TestStore::OnRead(const std::shared_ptr<ServerConnection>& connection,
                       const std::string& kind,
                       const std::string& name,
                       const std::string& query) -> void {
  if (!name.empty()) {
    const auto object = Find(kind, name);
    Reply(connection, object.is_null() ? 404 : 200, object);
    return;
  }
  if (const auto since = QueryNumber(query, "watch")) {
    m_waiting.push_back({connection, kind, since,
                         SteadyTime() + std::chrono::milliseconds(
                                            QueryNumber(query, "waitMs"))});
    NotifyWatches();
    return;
  }
  ++m_listings[kind];
  auto items = Json::array();
  for (const auto& [key, object] : m_objects[kind]) {
    items.push_back(object);
  }
  Reply(connection, 200,
        {{"items", items}, {"hasMore", false}, {"storeRevision", m_version}});
}

auto TestStore::OnWrite(const std::shared_ptr<ServerConnection>& connection,
                        const IncomingRequest& request,
                        const std::string& kind,
                        std::string name,
                        bool status) -> void {
  const auto body = Json::parse(request.m_body, nullptr, false);
  if (!body.is_object()) {
    Reply(connection, 400, {{"error", "not JSON"}});
    return;
  }
  const auto create = request.m_head.m_method == "POST";
  if (create) {
    name = body["metadata"]["name"].get<std::string>();
  }
  auto object = Find(kind, name);
  const auto metadata = body.value("metadata", Json::object());
  const auto expected = metadata.value("revision", std::int64_t{0});
  if (!create && object.is_null()) {
    Reply(connection, 404, Json::object());
    return;
  }
  const auto conflict =
      create ? !object.is_null()
             : expected != 0 && object["metadata"]["revision"] != expected;
  if (conflict) {
    Reply(connection, 409, object);
    return;
  }
  const auto* part = status ? "status" : "spec";
  object[part] = body.value(part, Json());
  Store(kind, name, std::move(object), false);
  if (m_dropped_answers[kind] > 0) {
    --m_dropped_answers[kind];
    return;
  }
  Reply(connection, 200, Find(kind, name));
}

auto TestStore::ChangesSince(const std::string& kind, std::int64_t since)
    -> Json {
  auto events = Json::array();
  for (const auto& change : m_history) {
    if (change.m_kind == kind && change.m_version > since) {
      events.push_back(change.m_event);
    }
  }
  return events;
}

auto TestStore::NotifyWatches() -> void {
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    const auto events = m_silent_watches
                            ? Json::array()
                            : ChangesSince(it->m_kind, it->m_since);
    if (events.empty() && SteadyTime() < it->m_until) {
      ++it;
      continue;
    }
    Reply(it->m_connection, 200,
          {{"events", events}, {"storeRevision", m_version}});
    it = m_waiting.erase(it);
  }
}

auto TestStore::StallWatches() -> void {
  for (const auto& waiting : m_waiting) {
    m_silent.push_back(waiting.m_connection);
  }
  m_waiting.clear();
}

auto TestStore::Tick(TimePoint now) -> void {
  HandleDelayed(now);
  m_listener.Tick(now);
  NotifyWatches();
}

}  // namespace dotterelshed
