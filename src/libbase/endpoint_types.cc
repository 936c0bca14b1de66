#include "dotterelshed/endpoint_types.h"

namespace dotterelshed {

auto ToString(AttemptEnd end) -> std::string_view {
  switch (end) {
    case AttemptEnd::kRefused:
      return "refused";
    case AttemptEnd::kLeaving:
      return "leaving";
    case AttemptEnd::kFenced:
      return "fenced";
    case AttemptEnd::kCompleted:
      return "completed";
    case AttemptEnd::kRejected:
      return "rejected";
    case AttemptEnd::kErrored:
      return "errored";
    case AttemptEnd::kLost:
      return "lost";
    case AttemptEnd::kTimedOut:
      return "timed_out";
    case AttemptEnd::kCancelled:
      return "cancelled";
  }
  return "lost";
}

auto CannotHaveRun(AttemptEnd end) -> bool {
  return end == AttemptEnd::kRefused || end == AttemptEnd::kLeaving ||
         end == AttemptEnd::kFenced;
}

}  // namespace dotterelshed
