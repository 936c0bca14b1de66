#include "dotterelshed/error.h"

#include <cstdio>
#include <cstdlib>

namespace dotterelshed {

auto ToString(ErrorCode code) -> std::string_view {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid_argument";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kGone:
      return "gone";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kLimit:
      return "limit";
    case ErrorCode::kForbidden:
      return "forbidden";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

void CheckFailed(const char* condition, const char* file, int line) {
  std::fprintf(stderr, "%s:%d: invariant broken: %s\n", file, line, condition);
  std::abort();
}

}  // namespace dotterelshed
