#ifndef DOTTERELSHED_BYTE_TEXT_H_
#define DOTTERELSHED_BYTE_TEXT_H_

#include <string>
#include <string_view>

/// @file
/// Text for bytes that callers choose, such as ids in header fields. JSON takes
/// valid UTF-8 only, and names of files and parts of URLs take still less.

namespace dotterelshed {

/// Returns true if @p bytes are valid UTF-8.
auto IsUtf8(std::string_view bytes) -> bool;

/// Returns valid UTF-8 from which DecodeText makes the same bytes again. What
/// is valid UTF-8 already is returned unchanged, so that hosts of earlier
/// versions read it too.
auto EncodeText(std::string_view bytes) -> std::string;

/// Reverses EncodeText. Text that EncodeText doesn't make stays as it is.
auto DecodeText(std::string_view text) -> std::string;

/// Returns @p name as one part of a path, of a file or of a URL: '/', '%', '?',
/// '#', blanks, control characters and bytes over 0x7f become %XX. Only a name
/// of dots alone is escaped otherwise.
auto EscapePathPart(std::string_view name) -> std::string;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_BYTE_TEXT_H_
