#ifndef DOTTERELSHED_CRASH_MESSAGES_H_
#define DOTTERELSHED_CRASH_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dotterelshed/crash_ledger.h"
#include "dotterelshed/error.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// How hosts tell each other of requests under which endpoints ended. Times
/// travel as ages, since hosts have no clock in common. Bodies are JSON.

namespace dotterelshed {

/// Asks for what has changed in another host's ledger.
struct CrashUpdateRequest {
  /// The process that the version is of; another one answers with all.
  Incarnation m_incarnation;
  std::uint64_t m_version = 0;
  /// Time for which the answer may wait for a change.
  Duration m_wait{0};
};

using DigestedContent = std::pair<ContentDigest, SuspectContent>;

struct CrashUpdate {
  Incarnation m_incarnation;
  /// Version of the ledger that the contents bring the receiver to.
  std::uint64_t m_version = 0;
  std::vector<DigestedContent> m_contents;
};

auto EncodeCrashUpdateRequest(const CrashUpdateRequest& request) -> std::string;
/// Errors: kInvalidArgument.
auto DecodeCrashUpdateRequest(std::string_view text)
    -> Result<CrashUpdateRequest>;
auto EncodeCrashUpdate(const CrashUpdate& update, TimePoint now) -> std::string;
/// Errors: kInvalidArgument.
auto DecodeCrashUpdate(std::string_view text, TimePoint now)
    -> Result<CrashUpdate>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CRASH_MESSAGES_H_
