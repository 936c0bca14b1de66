#ifndef DOTTERELSHED_PEER_CALL_H_
#define DOTTERELSHED_PEER_CALL_H_

#include <functional>
#include <string>
#include <string_view>

#include "connection_pool.h"
#include "dotterelshed/error.h"
#include "dotterelshed/units.h"

/// @file
/// Calls between hosts: a POST with a JSON body, answered by a JSON body.

namespace dotterelshed {

inline constexpr std::string_view kGrantPath = "/peer/grant";
inline constexpr std::string_view kSettlePath = "/peer/settle";
inline constexpr std::string_view kFindPath = "/peer/find";
inline constexpr std::string_view kLeadPath = "/peer/lead";
inline constexpr std::string_view kYieldPath = "/peer/yield";
inline constexpr std::string_view kCrashUpdatePath = "/peer/crash-news";
inline constexpr std::string_view kCrashUpdateRequestPath =
    "/peer/crash-question";
inline constexpr std::string_view kViewPath = "/peer/view";
inline constexpr std::string_view kJournalWritePath = "/peer/journal-write";
inline constexpr std::string_view kJournalReadPath = "/peer/journal-read";

/// Calls another host; a kept connection that turns out to be dead is replaced
/// once, so calls must bear to be repeated.
/// Errors: kUnavailable when it can't be reached, kTimeout without an answer.
auto CallPeer(EventLoop& loop,
              ConnectionPool& pool,
              const std::string& address,
              std::string_view path,
              const std::string& body,
              Duration timeout,
              std::function<void(Result<std::string>)> reply) -> void;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_PEER_CALL_H_
