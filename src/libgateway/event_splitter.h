#ifndef DOTTERELSHED_EVENT_SPLITTER_H_
#define DOTTERELSHED_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// @file
/// Cuts an event stream (text/event-stream) into whole events, so that only
/// whole ones are passed on and a broken stream can go on behind the last.

namespace dotterelshed {

struct StreamEvent {
  /// The event's text with the empty line that ends it.
  std::string m_text;
  std::optional<std::int64_t> m_id;
};

class EventSplitter {
 public:
  auto Add(std::string_view bytes) -> void { m_buffer += bytes; }
  /// The next whole event, if there is one.
  auto Next() -> std::optional<StreamEvent>;
  /// True when nothing is left but whole events that were taken.
  auto empty() const -> bool { return m_buffer.empty(); }
  auto buffered_bytes() const -> std::size_t { return m_buffer.size(); }

 private:
  std::string m_buffer;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_EVENT_SPLITTER_H_
