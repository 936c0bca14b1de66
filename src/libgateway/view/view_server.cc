#include "view/view_server.h"

#include <algorithm>
#include <utility>

namespace dotterelshed {

namespace {

/// Maximum number of objects whose changes are known; removed ones would
/// accumulate. A view of more changed objects is sent whole.
constexpr std::size_t kMaxKnownChanges = 4096;

}  // namespace

auto ViewServer::Replace(const std::vector<StoredObject>& objects,
                         ResourceVersion version) -> void {
  m_objects.clear();
  for (const auto& object : objects) {
    m_objects.insert_or_assign(object.m_name, object);
  }
  ForgetChanges(version);
  OnChanged(version);
}

auto ViewServer::Apply(const ObjectChanges& changes) -> void {
  for (const auto& change : changes.m_changes) {
    if (change.m_removed) {
      m_objects.erase(change.m_object.m_name);
    } else {
      m_objects.insert_or_assign(change.m_object.m_name, change.m_object);
    }
    m_changes.insert_or_assign(change.m_object.m_name, changes.m_store_version);
  }
  if (m_changes.size() > kMaxKnownChanges) {
    ForgetChanges(changes.m_store_version);
  }
  if (!changes.m_changes.empty()) {
    OnChanged(changes.m_store_version);
  }
}

auto ViewServer::ForgetChanges(ResourceVersion version) -> void {
  m_changes.clear();
  m_changes_known_since = version;
}

auto ViewServer::OnChanged(ResourceVersion version) -> void {
  m_changed_at = std::max(m_changed_at, version);
  m_encoded.clear();
}

auto ViewServer::AddRequest(const ViewRequest& request,
                            const ViewResponse& state,
                            TimePoint until,
                            ResponseCallback respond) -> void {
  const PendingRequest pending{request, until, std::move(respond)};
  if (request.m_version < m_changed_at) {
    Respond(pending, state);
  } else {
    m_pending.push_back(pending);
  }
}

auto ViewServer::RespondToAll(const ViewResponse& state) -> void {
  for (const auto& one : std::exchange(m_pending, {})) {
    Respond(one, state);
  }
}

auto ViewServer::RespondToDue(const ViewResponse& state, TimePoint now)
    -> void {
  // Requests are ordered by their deadlines.
  while (!m_pending.empty() && m_pending.front().m_until <= now) {
    const auto due = std::move(m_pending.front());
    m_pending.pop_front();
    Respond(due, state);
  }
}

auto ViewServer::FailAll(const Error& error) -> void {
  for (const auto& one : std::exchange(m_pending, {})) {
    one.m_respond(tl::unexpected(error));
  }
}

auto ViewServer::Reset(const Error& error) -> void {
  m_objects.clear();
  m_encoded.clear();
  m_changed_at = ResourceVersion(0);
  ForgetChanges(ResourceVersion(0));
  FailAll(error);
}

auto ViewServer::Respond(const PendingRequest& pending,
                         const ViewResponse& state) -> void {
  const auto& request = pending.m_request;
  if (request.m_version >= m_changed_at) {
    pending.m_respond(EncodeViewResponse(state, ""));
    return;
  }
  if (request.m_accepts_partial && request.m_version >= m_changes_known_since) {
    RespondPartially(pending, state);
    return;
  }
  if (m_encoded.empty()) {
    std::vector<const StoredObject*> objects;
    for (const auto& [name, object] : m_objects) {
      objects.push_back(&object);
    }
    m_encoded = EncodeViewObjects(objects);
  }
  pending.m_respond(EncodeViewResponse(state, m_encoded));
}

auto ViewServer::RespondPartially(const PendingRequest& pending,
                                  const ViewResponse& state) -> void {
  auto response = state;
  response.m_partial = true;
  std::vector<const StoredObject*> changed;
  for (const auto& [name, version] : m_changes) {
    if (version <= pending.m_request.m_version) {
      continue;
    }
    const auto found = m_objects.find(name);
    if (found != m_objects.end()) {
      changed.push_back(&found->second);
    } else {
      response.m_removed.push_back(name);
    }
  }
  pending.m_respond(EncodeViewResponse(response, EncodeViewObjects(changed)));
}

}  // namespace dotterelshed
