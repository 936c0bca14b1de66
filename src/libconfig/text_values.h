#ifndef DOTTERELSHED_LIBCONFIG_TEXT_VALUES_H_
#define DOTTERELSHED_LIBCONFIG_TEXT_VALUES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "dotterelshed/units.h"

/// @file
/// Values with units, as texts and settings write them.
namespace dotterelshed::pvt {

/// Why a value can't be read, and what to write instead.
struct ValueMistake {
  std::string m_message;
  std::string m_remedy;
};

template <typename T>
using Parsed = tl::expected<T, ValueMistake>;

/// "250us", "20ms", "60s", "10m", "24h".
auto ParseDuration(std::string_view text) -> Parsed<Duration>;
/// The shortest text that ParseDuration reads as @p duration.
auto FormatDuration(Duration duration) -> std::string;

/// "512B", "64KiB", "4MiB", "1GiB".
auto ParseBytes(std::string_view text) -> Parsed<Bytes>;
auto FormatBytes(Bytes bytes) -> std::string;

/// "25%".
auto ParsePercent(std::string_view text) -> Parsed<int>;

/// "12.50 DKK": up to six decimals, in the text's currency.
auto ParseMoney(std::string_view text, std::string_view currency)
    -> Parsed<Cost>;

/// An IPv4 address and a port.
struct SocketAddress {
  std::uint32_t m_ip = 0;
  int m_port = 0;
};

/// "10.1.0.11:8000".
auto ParseAddress(std::string_view text) -> Parsed<SocketAddress>;
auto FormatAddress(const SocketAddress& address) -> std::string;

/// Whether @p text may name something: letters, digits, dot, dash and
/// underscore, starting with a letter or digit, at most 64 characters.
auto IsName(std::string_view text) -> bool;

/// A count with an optional unit written by @p text, split for parsers.
struct NumberWithUnit {
  /// In millionths.
  std::int64_t m_millionths = 0;
  std::string_view m_unit;
};
auto SplitNumber(std::string_view text) -> std::optional<NumberWithUnit>;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCONFIG_TEXT_VALUES_H_
