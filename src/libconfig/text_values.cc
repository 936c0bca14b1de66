#include "text_values.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <vector>

namespace dotterelshed::pvt {

namespace {

constexpr std::int64_t kMillion = 1000000;
constexpr std::size_t kMaxDecimals = 6;
constexpr std::size_t kMaxNameLength = 64;
constexpr int kMaxPort = 65535;

struct Unit {
  std::string_view m_name;
  std::int64_t m_factor;
};

/// In microseconds, smallest first.
constexpr auto kDurationUnits = std::to_array<Unit>({{"us", 1},
                                                     {"ms", 1000},
                                                     {"s", 1000000},
                                                     {"m", 60000000},
                                                     {"h", 3600000000}});
/// In bytes, smallest first.
constexpr auto kByteUnits = std::to_array<Unit>(
    {{"B", 1}, {"KiB", 1024}, {"MiB", 1048576}, {"GiB", 1073741824}});

auto IsDigit(char letter) -> bool {
  return letter >= '0' && letter <= '9';
}

auto IsLetter(char letter) -> bool {
  return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z');
}

auto Mistake(std::string message, std::string remedy)
    -> tl::unexpected<ValueMistake> {
  return tl::unexpected<ValueMistake>(
      ValueMistake{std::move(message), std::move(remedy)});
}

template <std::size_t kCount>
auto FindUnit(const std::array<Unit, kCount>& units, std::string_view name)
    -> const Unit* {
  const auto* found =
      std::find_if(units.begin(), units.end(),
                   [name](const Unit& unit) { return unit.m_name == name; });
  return found == units.end() ? nullptr : found;
}

/// Length of the digits and points that @p text begins with.
auto LengthOfDigits(std::string_view text) -> std::size_t {
  const auto end = std::find_if_not(text.begin(), text.end(), [](char letter) {
    return IsDigit(letter) || letter == '.';
  });
  return static_cast<std::size_t>(end - text.begin());
}

/// @p value with one more decimal digit, or nothing if it is too large.
auto AppendDigit(std::int64_t value, int digit) -> std::optional<std::int64_t> {
  constexpr auto kBase = 10;
  if (value > (std::numeric_limits<std::int64_t>::max() - digit) / kBase) {
    return std::nullopt;
  }
  return value * kBase + digit;
}

/// A number like "12" or "12.50" in millionths; nothing if @p text is no such
/// number, has too many decimals, or is too large.
auto ParseMillionths(std::string_view text) -> std::optional<std::int64_t> {
  const auto point = std::min(text.find('.'), text.size());
  const auto whole = text.substr(0, point);
  const auto decimals = text.substr(std::min(point + 1, text.size()));
  const auto has_point = point < text.size();
  const auto malformed = whole.empty() || (has_point && decimals.empty()) ||
                         decimals.find('.') != std::string_view::npos;
  if (malformed || decimals.size() > kMaxDecimals) {
    return std::nullopt;
  }
  auto digits = std::string(whole) + std::string(decimals);
  digits.append(kMaxDecimals - decimals.size(), '0');
  std::optional<std::int64_t> value = 0;
  for (const auto letter : digits) {
    value = AppendDigit(*value, letter - '0');
    if (!value) {
      return std::nullopt;
    }
  }
  return value;
}

/// @p number times @p factor, or nothing if that is no whole 64-bit count.
auto Scale(const NumberWithUnit& number, std::int64_t factor)
    -> std::optional<std::int64_t> {
  const auto product = static_cast<__int128>(number.m_millionths) * factor;
  if (product % kMillion != 0) {
    return std::nullopt;
  }
  const auto value = product / kMillion;
  if (value > std::numeric_limits<std::int64_t>::max()) {
    return std::nullopt;
  }
  return static_cast<std::int64_t>(value);
}

template <std::size_t kCount>
auto ParseScaled(std::string_view text,
                 const std::array<Unit, kCount>& units,
                 const std::string& remedy) -> Parsed<std::int64_t> {
  const auto number = SplitNumber(text);
  if (!number) {
    return Mistake("'" + std::string(text) + "' is no number with a unit",
                   remedy);
  }
  const auto* unit = FindUnit(units, number->m_unit);
  if (unit == nullptr) {
    return Mistake(number->m_unit.empty()
                       ? "'" + std::string(text) + "' has no unit"
                       : "unknown unit '" + std::string(number->m_unit) + "'",
                   remedy);
  }
  const auto value = Scale(*number, unit->m_factor);
  if (!value) {
    return Mistake("'" + std::string(text) + "' is too large or too fine",
                   remedy);
  }
  return *value;
}

template <std::size_t kCount>
auto FormatScaled(std::int64_t value, const std::array<Unit, kCount>& units)
    -> std::string {
  auto best = units.front();
  for (const auto& unit : units) {
    if (value != 0 && value % unit.m_factor == 0) {
      best = unit;
    }
  }
  return std::to_string(value / best.m_factor) + std::string(best.m_name);
}

/// Decimal digits of @p text as a number from 0 to @p largest.
auto ParseSmall(std::string_view text, int largest) -> std::optional<int> {
  auto value = 0;
  const auto* end = text.data() + text.size();
  const auto [stopped, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stopped != end || value < 0 || value > largest ||
      text.empty() || !IsDigit(text.front())) {
    return std::nullopt;
  }
  return value;
}

auto ParseIp(std::string_view text) -> std::optional<std::uint32_t> {
  constexpr auto kParts = 4;
  constexpr auto kLargestPart = 255;
  std::uint32_t ip = 0;
  for (auto part = 0; part < kParts; ++part) {
    const auto last = part == kParts - 1;
    const auto dot = last ? text.size() : text.find('.');
    if (dot == std::string_view::npos) {
      return std::nullopt;
    }
    const auto value = ParseSmall(text.substr(0, dot), kLargestPart);
    if (!value) {
      return std::nullopt;
    }
    ip = (ip << 8U) | static_cast<std::uint32_t>(*value);
    text.remove_prefix(last ? dot : dot + 1);
  }
  return ip;
}

}  // namespace

auto SplitNumber(std::string_view text) -> std::optional<NumberWithUnit> {
  const auto length = LengthOfDigits(text);
  const auto value = ParseMillionths(text.substr(0, length));
  if (!value) {
    return std::nullopt;
  }
  auto unit = text.substr(length);
  unit.remove_prefix(std::min(unit.find_first_not_of(' '), unit.size()));
  return NumberWithUnit{.m_millionths = *value, .m_unit = unit};
}

auto ParseDuration(std::string_view text) -> Parsed<Duration> {
  const auto value = ParseScaled(
      text, kDurationUnits, "write a number with us, ms, s, m or h: \"500ms\"");
  if (!value) {
    return tl::unexpected<ValueMistake>(value.error());
  }
  return Duration(*value);
}

auto FormatDuration(Duration duration) -> std::string {
  return FormatScaled(duration.count(), kDurationUnits);
}

auto ParseBytes(std::string_view text) -> Parsed<Bytes> {
  const auto value = ParseScaled(
      text, kByteUnits, "write a number with B, KiB, MiB or GiB: \"4MiB\"");
  if (!value) {
    return tl::unexpected<ValueMistake>(value.error());
  }
  return Bytes(*value);
}

auto FormatBytes(Bytes bytes) -> std::string {
  return FormatScaled(bytes.value(), kByteUnits);
}

auto ParsePercent(std::string_view text) -> Parsed<int> {
  constexpr auto kHundredPercent = 100;
  const auto number = SplitNumber(text);
  if (!number || number->m_unit != "%" ||
      number->m_millionths % kMillion != 0) {
    return Mistake("'" + std::string(text) + "' is no whole percentage",
                   "write a whole number with %: \"25%\"");
  }
  if (number->m_millionths > kHundredPercent * kMillion) {
    return Mistake("'" + std::string(text) + "' is above 100%",
                   "write a share between 0% and 100%");
  }
  return static_cast<int>(number->m_millionths / kMillion);
}

auto ParseMoney(std::string_view text, std::string_view currency)
    -> Parsed<Cost> {
  const auto remedy =
      "write an amount with the currency of the text: \"12.50 " +
      std::string(currency) + "\"";
  const auto number = SplitNumber(text);
  if (!number) {
    return Mistake("'" + std::string(text) + "' is no amount of money", remedy);
  }
  if (number->m_unit != currency) {
    return Mistake(
        number->m_unit.empty()
            ? "'" + std::string(text) + "' has no currency"
            : "unknown currency '" + std::string(number->m_unit) + "'",
        remedy);
  }
  return Cost(number->m_millionths);
}

auto ParseAddress(std::string_view text) -> Parsed<SocketAddress> {
  const auto colon = text.rfind(':');
  const auto remedy = std::string(
      "write an IPv4 address and a port: "
      "\"10.1.0.11:8000\"");
  if (colon == std::string_view::npos) {
    return Mistake("'" + std::string(text) + "' has no port", remedy);
  }
  const auto ip = ParseIp(text.substr(0, colon));
  const auto port = ParseSmall(text.substr(colon + 1), kMaxPort);
  if (!ip || !port) {
    return Mistake("'" + std::string(text) + "' is no IPv4 address with a port",
                   remedy);
  }
  return SocketAddress{.m_ip = *ip, .m_port = *port};
}

auto FormatAddress(const SocketAddress& address) -> std::string {
  constexpr auto kByteMask = 0xFFU;
  std::string text;
  for (const auto shift : {24U, 16U, 8U, 0U}) {
    text += std::to_string((address.m_ip >> shift) & kByteMask);
    text += shift == 0U ? ':' : '.';
  }
  return text + std::to_string(address.m_port);
}

auto IsName(std::string_view text) -> bool {
  const auto fits = [](char letter) {
    return IsDigit(letter) || IsLetter(letter) || letter == '.' ||
           letter == '-' || letter == '_';
  };
  return !text.empty() && text.size() <= kMaxNameLength &&
         (IsDigit(text.front()) || IsLetter(text.front())) &&
         std::all_of(text.begin(), text.end(), fits);
}

}  // namespace dotterelshed::pvt
