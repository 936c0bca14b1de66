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
/// Messages between hosts about requests under which endpoints crashed. Times
/// are sent as ages, since the hosts have no common clock. Bodies are JSON.

namespace dotterelshed {

/// Requests the changes in the crash ledger of another host.
struct CrashUpdateRequest {
  /// Process that m_version refers to; another process sends its whole ledger.
  Incarnation m_incarnation;
  std::uint64_t m_version = 0;
  /// Maximum time for which the response may wait for a change (long poll).
  Duration m_wait{0};
};

using DigestedContent = std::pair<ContentDigest, SuspectContent>;

struct CrashUpdate {
  Incarnation m_incarnation;
  /// Ledger version of the receiver after applying m_contents.
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
