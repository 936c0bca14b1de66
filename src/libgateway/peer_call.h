#ifndef DOTTERELSHED_PEER_CALL_H_
#define DOTTERELSHED_PEER_CALL_H_

#include <functional>
#include <string>
#include <string_view>

#include "connection_pool.h"
#include "dotterelshed/error.h"
#include "dotterelshed/units.h"

/// @file
/// Calls between hosts: HTTP POST with JSON bodies in both directions, or
/// MessagePack for the turns of conversations.

namespace dotterelshed {

inline constexpr std::string_view kRelayPath = "/peer/relay";
inline constexpr std::string_view kRelayListPath = "/peer/relay-list";
inline constexpr std::string_view kGrantPath = "/peer/grant";
inline constexpr std::string_view kSettlePath = "/peer/settle";
inline constexpr std::string_view kQuotaPath = "/peer/quota";
inline constexpr std::string_view kLimitPath = "/peer/limit";
inline constexpr std::string_view kStreamBegunPath = "/peer/stream-begun";
inline constexpr std::string_view kStreamQuestionPath = "/peer/stream-question";
inline constexpr std::string_view kFindPath = "/peer/find";
inline constexpr std::string_view kLeadPath = "/peer/lead";
inline constexpr std::string_view kYieldPath = "/peer/yield";
inline constexpr std::string_view kStepDownPath = "/peer/step-down";
inline constexpr std::string_view kCrashUpdatePath = "/peer/crash-news";
inline constexpr std::string_view kCrashUpdateRequestPath =
    "/peer/crash-question";
inline constexpr std::string_view kViewPath = "/peer/view";
inline constexpr std::string_view kJournalWritePath = "/peer/journal-write";
inline constexpr std::string_view kJournalReadPath = "/peer/journal-read";
inline constexpr std::string_view kTurnWritePath = "/peer/turn-write";
inline constexpr std::string_view kTurnReadPath = "/peer/turn-read";
inline constexpr std::string_view kTurnListPath = "/peer/turn-list";
inline constexpr std::string_view kTurnFetchPath = "/peer/turn-fetch";
inline constexpr std::string_view kTurnWithdrawPath = "/peer/turn-withdraw";
inline constexpr std::string_view kTurnCopyPath = "/peer/turn-copy";

/// Sends a POST to another host. If a reused connection fails, the call is
/// repeated once on a new one, so calls must be idempotent.
/// Errors: kUnavailable if the host cannot be reached or responds with a status
/// other than 200, kTimeout without a response.
auto CallPeer(EventLoop& loop,
              ConnectionPool& pool,
              const std::string& address,
              std::string_view path,
              const std::string& body,
              Duration timeout,
              std::function<void(Result<std::string>)> reply) -> void;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_PEER_CALL_H_
