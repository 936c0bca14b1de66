#include "dotterelshed/byte_text.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace dotterelshed {

namespace {

/// Begins a text that consists of hexadecimal digits. A header field can't
/// contain its first letter, a control character.
constexpr std::string_view kHexMark = "\x1fhex:";
constexpr int kHexBase = 16;
constexpr unsigned char kFirstNonAscii = 0x80;
constexpr unsigned char kDelete = 0x7f;

/// Number of bytes after the first one of a UTF-8 sequence, and the least and
/// greatest value of the second one.
struct SequenceRule {
  int m_more = -1;
  unsigned char m_least = 0x80;
  unsigned char m_greatest = 0xbf;
};

auto RuleOf(unsigned char first) -> SequenceRule {
  if (first < kFirstNonAscii) {
    return {.m_more = 0};
  }
  if (first >= 0xc2 && first <= 0xdf) {
    return {.m_more = 1};
  }
  if (first >= 0xe0 && first <= 0xef) {
    // No overlong sequences and no surrogates.
    return {
        .m_more = 2,
        .m_least = static_cast<unsigned char>(first == 0xe0 ? 0xa0 : 0x80),
        .m_greatest = static_cast<unsigned char>(first == 0xed ? 0x9f : 0xbf)};
  }
  if (first >= 0xf0 && first <= 0xf4) {
    return {
        .m_more = 3,
        .m_least = static_cast<unsigned char>(first == 0xf0 ? 0x90 : 0x80),
        .m_greatest = static_cast<unsigned char>(first == 0xf4 ? 0x8f : 0xbf)};
  }
  return {};
}

auto ByteAt(std::string_view bytes, std::size_t index) -> unsigned char {
  return static_cast<unsigned char>(bytes[index]);
}

/// Length of the sequence that @p bytes begin with; 0 if it is invalid.
auto SequenceLength(std::string_view bytes) -> std::size_t {
  const auto rule = RuleOf(ByteAt(bytes, 0));
  const auto length = static_cast<std::size_t>(rule.m_more) + 1;
  if (rule.m_more < 0 || bytes.size() < length) {
    return 0;
  }
  for (std::size_t i = 1; i < length; ++i) {
    const auto byte = ByteAt(bytes, i);
    const auto least = i == 1 ? rule.m_least : kFirstNonAscii;
    const auto greatest = i == 1 ? rule.m_greatest : 0xbf;
    if (byte < least || byte > greatest) {
      return 0;
    }
  }
  return length;
}

auto NeedsEscape(unsigned char letter) -> bool {
  constexpr std::string_view kReserved = "/%?#";
  return letter <= ' ' || letter >= kDelete ||
         kReserved.find(static_cast<char>(letter)) != std::string_view::npos;
}

}  // namespace

auto IsUtf8(std::string_view bytes) -> bool {
  while (!bytes.empty()) {
    const auto length = SequenceLength(bytes);
    if (length == 0) {
      return false;
    }
    bytes.remove_prefix(length);
  }
  return true;
}

auto EncodeText(std::string_view bytes) -> std::string {
  if (IsUtf8(bytes) && !bytes.starts_with(kHexMark)) {
    return std::string(bytes);
  }
  std::string text(kHexMark);
  for (const auto byte : bytes) {
    text += fmt::format("{:02x}", static_cast<unsigned char>(byte));
  }
  return text;
}

auto DecodeText(std::string_view text) -> std::string {
  const auto digits =
      text.starts_with(kHexMark) ? text.substr(kHexMark.size()) : "";
  if (!text.starts_with(kHexMark) || digits.size() % 2 != 0) {
    return std::string(text);
  }
  std::string bytes;
  for (std::size_t i = 0; i < digits.size(); i += 2) {
    std::uint8_t byte = 0;
    const auto* end = digits.data() + i + 2;
    const auto read = std::from_chars(digits.data() + i, end, byte, kHexBase);
    if (read.ec != std::errc() || read.ptr != end) {
      return std::string(text);
    }
    bytes += static_cast<char>(byte);
  }
  return bytes;
}

auto EscapePathPart(std::string_view name) -> std::string {
  const auto dots =
      !name.empty() && std::all_of(name.begin(), name.end(),
                                   [](char letter) { return letter == '.'; });
  std::string part;
  for (const auto letter : name) {
    const auto byte = static_cast<unsigned char>(letter);
    part += dots || NeedsEscape(byte) ? fmt::format("%{:02X}", byte)
                                      : std::string(1, letter);
  }
  return part;
}

}  // namespace dotterelshed
