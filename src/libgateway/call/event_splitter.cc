#include "call/event_splitter.h"

#include <charconv>

namespace dotterelshed {

namespace {

/// Returns the position after the empty line that ends the first event in @p
/// text, or npos if the event is incomplete. Lines end in LF or CRLF.
auto FindEventEnd(std::string_view text) -> std::size_t {
  auto line_begin = std::size_t{0};
  while (true) {
    const auto line_end = text.find('\n', line_begin);
    if (line_end == std::string_view::npos) {
      return std::string_view::npos;
    }
    const auto line = text.substr(line_begin, line_end - line_begin);
    if (line.empty() || line == "\r") {
      return line_end + 1;
    }
    line_begin = line_end + 1;
  }
}

auto FindId(std::string_view event) -> std::optional<std::int64_t> {
  constexpr std::string_view kField = "id:";
  auto rest = event;
  while (!rest.empty()) {
    const auto end = rest.find('\n');
    auto line = rest.substr(0, end);
    if (line.starts_with(kField)) {
      line.remove_prefix(kField.size());
      while (line.starts_with(' ')) {
        line.remove_prefix(1);
      }
      std::int64_t id = 0;
      const auto parsed =
          std::from_chars(line.data(), line.data() + line.size(), id);
      if (parsed.ec == std::errc()) {
        return id;
      }
    }
    if (end == std::string_view::npos) {
      break;
    }
    rest.remove_prefix(end + 1);
  }
  return std::nullopt;
}

}  // namespace

auto EventSplitter::Next() -> std::optional<StreamEvent> {
  const auto end = FindEventEnd(m_buffer);
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  StreamEvent event;
  event.m_text = m_buffer.substr(0, end);
  event.m_id = FindId(event.m_text);
  m_buffer.erase(0, end);
  return event;
}

}  // namespace dotterelshed
