#include "view_relay.h"

#include <algorithm>
#include <utility>

namespace dotterelshed {

auto ViewRelay::Replace(const std::vector<StoredObject>& objects,
                        ResourceVersion version) -> void {
  m_objects.clear();
  for (const auto& object : objects) {
    m_objects.insert_or_assign(object.m_name, object);
  }
  Changed(version);
}

auto ViewRelay::Apply(const ObjectChanges& changes) -> void {
  for (const auto& change : changes.m_changes) {
    if (change.m_removed) {
      m_objects.erase(change.m_object.m_name);
    } else {
      m_objects.insert_or_assign(change.m_object.m_name, change.m_object);
    }
  }
  if (!changes.m_changes.empty()) {
    Changed(changes.m_store_version);
  }
}

auto ViewRelay::Changed(ResourceVersion version) -> void {
  m_changed = std::max(m_changed, version);
  m_encoded.clear();
}

auto ViewRelay::Ask(const ViewQuestion& question,
                    const ViewAnswer& state,
                    TimePoint until,
                    Answered answered) -> void {
  const Waiting waiting{question.m_version, until, std::move(answered)};
  if (question.m_version < m_changed) {
    AnswerOne(waiting, state);
  } else {
    m_waiting.push_back(waiting);
  }
}

auto ViewRelay::Tell(const ViewAnswer& state) -> void {
  for (const auto& one : std::exchange(m_waiting, {})) {
    AnswerOne(one, state);
  }
}

auto ViewRelay::TellDue(const ViewAnswer& state, TimePoint now) -> void {
  // Questions come in the order of their ends.
  while (!m_waiting.empty() && m_waiting.front().m_until <= now) {
    const auto due = std::move(m_waiting.front());
    m_waiting.pop_front();
    AnswerOne(due, state);
  }
}

auto ViewRelay::Drop(const Error& error) -> void {
  for (const auto& one : std::exchange(m_waiting, {})) {
    one.m_answered(tl::unexpected(error));
  }
}

auto ViewRelay::AnswerOne(const Waiting& waiting, const ViewAnswer& state)
    -> void {
  if (waiting.m_version >= m_changed) {
    waiting.m_answered(EncodeViewAnswer(state, ""));
    return;
  }
  if (m_encoded.empty()) {
    std::vector<const StoredObject*> objects;
    for (const auto& [name, object] : m_objects) {
      objects.push_back(&object);
    }
    m_encoded = EncodeViewObjects(objects);
  }
  waiting.m_answered(EncodeViewAnswer(state, m_encoded));
}

}  // namespace dotterelshed
