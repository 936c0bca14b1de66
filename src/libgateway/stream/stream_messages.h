#ifndef DOTTERELSHED_STREAM_MESSAGES_H_
#define DOTTERELSHED_STREAM_MESSAGES_H_

#include <optional>
#include <string>
#include <string_view>

#include "dotterelshed/error.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// Messages of entry hosts to disk hosts about the software versions at which
/// streams began. Bodies are JSON.

namespace dotterelshed {

/// A stream has begun.
struct StreamBegun {
  RequestId m_attempt;
  SoftwareVersion m_software;
  /// Time for which its caller may take it up.
  Duration m_lifetime{0};
};

/// Asks at which version a stream began.
struct StreamQuestion {
  RequestId m_attempt;
};

struct StreamAnswer {
  /// Nothing if the receiver doesn't know.
  std::optional<SoftwareVersion> m_software;
};

auto EncodeStreamBegun(const StreamBegun& begun) -> std::string;
auto DecodeStreamBegun(std::string_view text) -> Result<StreamBegun>;
auto EncodeStreamQuestion(const StreamQuestion& question) -> std::string;
auto DecodeStreamQuestion(std::string_view text) -> Result<StreamQuestion>;
auto EncodeStreamAnswer(const StreamAnswer& answer) -> std::string;
auto DecodeStreamAnswer(std::string_view text) -> Result<StreamAnswer>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_STREAM_MESSAGES_H_
