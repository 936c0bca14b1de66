#include "dotterelshed/turn_record.h"

namespace dotterelshed {

namespace {

/// Memory of a record beside its text: nodes of the index and short strings.
constexpr std::size_t kRecordOverheadBytes = 400;
constexpr std::string_view kDataField = "data";

/// Returns the next line of @p rest without its line end, and removes it.
auto TakeLine(std::string_view& rest) -> std::string_view {
  const auto end = rest.find('\n');
  auto line = rest.substr(0, end);
  rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

}  // namespace

auto EventData(std::string_view event) -> std::string {
  std::string data;
  auto first = true;
  while (!event.empty()) {
    auto line = TakeLine(event);
    if (!line.starts_with(kDataField)) {
      continue;
    }
    line.remove_prefix(kDataField.size());
    if (!line.empty() && !line.starts_with(':')) {
      // Another field whose name begins alike.
      continue;
    }
    line.remove_prefix(line.empty() ? 0 : 1);
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    if (!first) {
      data += '\n';
    }
    first = false;
    data += line;
  }
  return data;
}

auto SizeInMemory(const TurnRecord& record) -> std::size_t {
  return record.m_text.size() + kRecordOverheadBytes;
}

}  // namespace dotterelshed
