#include "rollout/rollout_diff.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <vector>

namespace dotterelshed::pvt {

namespace {

constexpr auto kCopy = 'c';
constexpr auto kInsert = 'i';
/// Positions in the base that are tried for a line that occurs more than once.
constexpr auto kMaxCandidates = std::size_t{8};

using Lines = std::vector<std::string_view>;

auto SplitLines(std::string_view text) -> Lines {
  Lines lines;
  while (!text.empty()) {
    const auto end = text.find('\n');
    const auto size = end == std::string_view::npos ? text.size() : end + 1;
    lines.push_back(text.substr(0, size));
    text.remove_prefix(size);
  }
  return lines;
}

auto CommonPrefix(std::string_view left, std::string_view right)
    -> std::size_t {
  const auto size = std::min(left.size(), right.size());
  const auto end =
      std::mismatch(left.begin(), left.begin() + size, right.begin());
  return static_cast<std::size_t>(end.first - left.begin());
}

auto CommonSuffix(std::string_view left, std::string_view right)
    -> std::size_t {
  const auto size = std::min(left.size(), right.size());
  auto common = std::size_t{0};
  while (common < size &&
         left[left.size() - 1 - common] == right[right.size() - 1 - common]) {
    ++common;
  }
  return common;
}

/// Writes a difference; merges adjacent operations of one kind.
class DifferenceWriter {
 public:
  auto Copy(std::size_t offset, std::size_t size) -> void {
    if (size == 0) {
      return;
    }
    FlushInsert();
    if (m_copy_size > 0 && m_copy_offset + m_copy_size == offset) {
      m_copy_size += size;
      return;
    }
    FlushCopy();
    m_copy_offset = offset;
    m_copy_size = size;
  }

  auto Insert(std::string_view piece) -> void {
    if (!piece.empty()) {
      FlushCopy();
      m_insert.append(piece);
    }
  }

  auto Finish() -> std::string {
    FlushCopy();
    FlushInsert();
    return std::move(m_out);
  }

 private:
  auto FlushCopy() -> void {
    if (m_copy_size > 0) {
      m_out += kCopy + std::to_string(m_copy_offset) + ' ' +
               std::to_string(m_copy_size) + '\n';
      m_copy_size = 0;
    }
  }

  auto FlushInsert() -> void {
    if (!m_insert.empty()) {
      m_out += kInsert + std::to_string(m_insert.size()) + '\n' + m_insert;
      m_insert.clear();
    }
  }

  std::string m_out;
  std::size_t m_copy_offset = 0;
  std::size_t m_copy_size = 0;
  std::string m_insert;
};

/// Finds runs of lines of the base in a text. Lines without a match become
/// insertions.
class LineMatcher {
 public:
  LineMatcher(std::string_view base, std::size_t offset) {
    m_lines = SplitLines(base);
    for (auto i = std::size_t{0}; i < m_lines.size(); ++i) {
      m_places[m_lines[i]].push_back(i);
      m_offsets.push_back(offset);
      offset += m_lines[i].size();
    }
  }

  auto Match(std::string_view text, DifferenceWriter& out) const -> void {
    const auto lines = SplitLines(text);
    auto at = std::size_t{0};
    while (at < lines.size()) {
      const auto [place, count] = LongestRun(lines, at);
      if (count == 0) {
        out.Insert(lines[at]);
        ++at;
        continue;
      }
      for (auto i = std::size_t{0}; i < count; ++i) {
        out.Copy(m_offsets[place + i], m_lines[place + i].size());
      }
      at += count;
    }
  }

 private:
  auto LongestRun(const Lines& lines, std::size_t at) const
      -> std::pair<std::size_t, std::size_t> {
    std::pair<std::size_t, std::size_t> best{0, 0};
    const auto found = m_places.find(lines[at]);
    if (found == m_places.end()) {
      return best;
    }
    const auto candidates = std::min(found->second.size(), kMaxCandidates);
    for (auto i = std::size_t{0}; i < candidates; ++i) {
      const auto place = found->second[i];
      const auto count = RunLength(lines, at, place);
      if (count > best.second) {
        best = {place, count};
      }
    }
    return best;
  }

  auto RunLength(const Lines& lines, std::size_t at, std::size_t place) const
      -> std::size_t {
    auto count = std::size_t{0};
    while (at + count < lines.size() && place + count < m_lines.size() &&
           lines[at + count] == m_lines[place + count]) {
      ++count;
    }
    return count;
  }

  Lines m_lines;
  std::vector<std::size_t> m_offsets;
  std::map<std::string_view, std::vector<std::size_t>> m_places;
};

/// Reads the operations of a difference and checks every number.
class DifferenceReader {
 public:
  explicit DifferenceReader(std::string_view rest) : m_rest(rest) {}

  auto empty() const -> bool { return m_rest.empty(); }

  auto Kind() -> char {
    const auto kind = m_rest.front();
    m_rest.remove_prefix(1);
    return kind;
  }

  auto Number(char end) -> std::optional<std::size_t> {
    auto value = std::size_t{0};
    const auto* const stop = m_rest.data() + m_rest.size();
    const auto parsed = std::from_chars(m_rest.data(), stop, value);
    if (parsed.ec != std::errc() || parsed.ptr == stop || *parsed.ptr != end) {
      return std::nullopt;
    }
    m_rest.remove_prefix(static_cast<std::size_t>(parsed.ptr - m_rest.data()) +
                         1);
    return value;
  }

  auto Bytes(std::size_t size) -> std::optional<std::string_view> {
    if (size > m_rest.size()) {
      return std::nullopt;
    }
    const auto bytes = m_rest.substr(0, size);
    m_rest.remove_prefix(size);
    return bytes;
  }

 private:
  std::string_view m_rest;
};

/// Reads one operation. @return the piece of the new text that it yields, or
/// nothing when it is malformed or exceeds @p base
auto ReadPiece(DifferenceReader& reader, std::string_view base)
    -> std::optional<std::string_view> {
  const auto kind = reader.Kind();
  if (kind == kInsert) {
    const auto size = reader.Number('\n');
    return size ? reader.Bytes(*size) : std::nullopt;
  }
  if (kind != kCopy) {
    return std::nullopt;
  }
  const auto offset = reader.Number(' ');
  const auto size = offset ? reader.Number('\n') : std::nullopt;
  if (!size || *offset > base.size() || *size > base.size() - *offset) {
    return std::nullopt;
  }
  return base.substr(*offset, *size);
}

}  // namespace

auto MakeDifference(std::string_view base, std::string_view text)
    -> std::string {
  const auto prefix = CommonPrefix(base, text);
  const auto suffix = CommonSuffix(base.substr(prefix), text.substr(prefix));
  const auto base_middle = base.substr(prefix, base.size() - prefix - suffix);
  const auto text_middle = text.substr(prefix, text.size() - prefix - suffix);
  DifferenceWriter writer;
  writer.Copy(0, prefix);
  LineMatcher(base_middle, prefix).Match(text_middle, writer);
  writer.Copy(base.size() - suffix, suffix);
  return writer.Finish();
}

auto ApplyDifference(std::string_view base, std::string_view difference)
    -> Result<std::string> {
  std::string text;
  DifferenceReader reader(difference);
  while (!reader.empty()) {
    const auto piece = ReadPiece(reader, base);
    if (!piece) {
      return Fail(ErrorCode::kInvalidArgument,
                  "configuration difference is malformed or exceeds its base");
    }
    text.append(*piece);
  }
  return text;
}

auto DigestOf(std::string_view text) -> Digest {
  const auto hash = XXH3_128bits(text.data(), text.size());
  XXH128_canonical_t bytes;
  XXH128_canonicalFromHash(&bytes, hash);
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (const auto byte : bytes.digest) {
    hex += kDigits[byte >> 4U];
    hex += kDigits[byte & 15U];
  }
  return Digest(hex);
}

}  // namespace dotterelshed::pvt
