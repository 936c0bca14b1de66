#include "request_entry.h"

#include <utility>

namespace dotterelshed::pvt {

auto RequestEntry::AddAttemptText(const AttemptId& attempt,
                                  std::string_view text) -> void {
  const std::lock_guard lock(m_mutex);
  if (m_answer) {
    return;
  }
  auto& whole = m_attempts[attempt];
  whole += text;
  if (m_last_attempt == attempt) {
    Publish(text);
    return;
  }
  if (whole.size() > m_text.size() && whole.starts_with(m_text)) {
    m_last_attempt = attempt;
    Publish(std::string_view(whole).substr(m_text.size()));
  }
}

auto RequestEntry::BeginForward() -> std::pair<std::int64_t, std::uint64_t> {
  const std::lock_guard lock(m_mutex);
  return {++m_forward, m_text.size()};
}

auto RequestEntry::AddForwardText(std::int64_t forward, std::string_view text)
    -> void {
  const std::lock_guard lock(m_mutex);
  if (!m_answer && forward == m_forward) {
    Publish(text);
  }
}

auto RequestEntry::Finish(const CallAnswer& answer, std::string_view text)
    -> void {
  const std::lock_guard lock(m_mutex);
  if (m_answer) {
    return;
  }
  if (!text.empty()) {
    m_diverged = !text.starts_with(m_text);
    if (!m_diverged) {
      m_text = text;
    }
  }
  m_answer = answer;
  m_attempts.clear();
  for (auto& [number, listener] : m_listeners) {
    Serve(listener);
  }
  m_changed.notify_all();
}

auto RequestEntry::finished() const -> bool {
  const std::lock_guard lock(m_mutex);
  return m_answer.has_value();
}

auto RequestEntry::answer() const -> std::optional<CallAnswer> {
  const std::lock_guard lock(m_mutex);
  return m_answer;
}

auto RequestEntry::size() const -> std::size_t {
  const std::lock_guard lock(m_mutex);
  return m_text.size() + (m_answer ? m_answer->m_body.size() : 0);
}

auto RequestEntry::Read(std::uint64_t offset, Duration limit) -> Piece {
  std::unique_lock lock(m_mutex);
  m_changed.wait_for(lock, limit, [this, offset] {
    return m_answer || m_text.size() > offset;
  });
  Piece piece{.m_answer = m_answer, .m_diverged = m_diverged};
  if (m_text.size() > offset) {
    piece.m_text = m_text.substr(offset);
  }
  return piece;
}

auto RequestEntry::AddListener(std::uint64_t offset, CallSink sink)
    -> std::int64_t {
  const std::lock_guard lock(m_mutex);
  const auto number = m_next_listener++;
  auto& listener = m_listeners
                       .emplace(number, Listener{.m_sink = std::move(sink),
                                                 .m_offset = offset})
                       .first->second;
  Serve(listener);
  return number;
}

auto RequestEntry::RemoveListener(std::int64_t listener) -> void {
  const std::lock_guard lock(m_mutex);
  m_listeners.erase(listener);
}

auto RequestEntry::Publish(std::string_view text) -> void {
  m_text += text;
  for (auto& [number, listener] : m_listeners) {
    Serve(listener);
  }
  m_changed.notify_all();
}

auto RequestEntry::Serve(Listener& listener) -> void {
  if (m_text.size() > listener.m_offset) {
    listener.m_sink.m_on_text(
        std::string_view(m_text).substr(listener.m_offset), Tokens(0));
    listener.m_offset = m_text.size();
  }
  if (m_answer) {
    listener.m_sink.m_on_answer(*m_answer);
  }
}

}  // namespace dotterelshed::pvt
