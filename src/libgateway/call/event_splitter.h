#ifndef DOTTERELSHED_EVENT_SPLITTER_H_
#define DOTTERELSHED_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// @file
/// Splits an event stream (text/event-stream) into complete events, so that
/// only complete ones are forwarded and an interrupted stream can resume after
/// the last of them.

namespace dotterelshed {

struct StreamEvent {
  /// Text of the event, including the terminating empty line.
  std::string m_text;
  std::optional<std::int64_t> m_id;
};

class EventSplitter {
 public:
  auto Add(std::string_view bytes) -> void { m_buffer += bytes; }
  /// Returns the next complete event, if any.
  auto Next() -> std::optional<StreamEvent>;
  /// Returns true if no bytes are left after the events that were returned.
  auto empty() const -> bool { return m_buffer.empty(); }
  auto buffered_bytes() const -> std::size_t { return m_buffer.size(); }

 private:
  std::string m_buffer;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_EVENT_SPLITTER_H_
