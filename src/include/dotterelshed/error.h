#ifndef DOTTERELSHED_ERROR_H_
#define DOTTERELSHED_ERROR_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>

/// @file
/// Errors are values: a function that can fail returns Result. Only a broken
/// invariant stops the process, through DOTTERELSHED_CHECK.

namespace dotterelshed {

enum class ErrorCode {
  kInvalidArgument,  ///< The caller's input is malformed; do not retry.
  kNotFound,         ///< The named object does not exist.
  kConflict,         ///< A conditional update lost; re-read before retrying.
  kGone,             ///< A watch or resume position is too old; list again.
  kUnavailable,      ///< The other side can't be reached; may be retried.
  kTimeout,          ///< No answer in time; the effect is uncertain.
  kLimit,            ///< A configured limit is reached; retry later.
  kForbidden,        ///< Signature, account or fencing check failed.
  kInternal,         ///< Anything else.
};

/// Stable lower-case name, as used in error bodies and logs.
auto ToString(ErrorCode code) -> std::string_view;

/// What went wrong and where.
struct Error {
  ErrorCode m_code = ErrorCode::kInternal;
  std::string m_message;
  /// File, line, JSON path or URL that the error is about; may be empty.
  std::string m_place;
};

template <typename T>
using Result = tl::expected<T, Error>;
using Status = tl::expected<void, Error>;

/// Makes the error side of a Result.
inline auto Fail(ErrorCode code, std::string message, std::string place = "")
    -> tl::unexpected<Error> {
  return tl::unexpected<Error>(
      Error{code, std::move(message), std::move(place)});
}

/// Reports a broken invariant and stops the process.
[[noreturn]] void CheckFailed(const char* condition,
                              const char* file,
                              int line);

}  // namespace dotterelshed

#define DOTTERELSHED_CHECK(condition)                              \
  do {                                                             \
    if (!(condition)) {                                            \
      ::dotterelshed::CheckFailed(#condition, __FILE__, __LINE__); \
    }                                                              \
  } while (false)

#endif  // DOTTERELSHED_ERROR_H_
