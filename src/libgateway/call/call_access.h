#ifndef DOTTERELSHED_CALL_ACCESS_H_
#define DOTTERELSHED_CALL_ACCESS_H_

#include <optional>
#include <string>

#include "dotterelshed/account_access.h"
#include "dotterelshed/ids.h"
#include "entry_context.h"
#include "platform/call_headers.h"

/// @file
/// Applies the decision on a request's key to one request, and keeps what
/// different accounts store apart.

namespace dotterelshed {

/// Returns the value of an account's label in metrics: its own name for the
/// accounts with the largest quotas, else one that all others share.
/// @param account  outlives the result; empty for none.
auto AccountLabel(const EntryContext& context, const AccountId& account)
    -> std::string_view;

/// Decides by the newest configuration of this host.
auto DecideCallAccess(const EntryContext& context,
                      const Route& route,
                      const CallHeaders& headers) -> AccessDecision;

/// Ids under which a request's turn, program and caller are stored, looked up
/// and sent to other hosts. Callers and endpoints know them without scope.
struct StoredIds {
  RequestId m_request;
  std::optional<RequestId> m_previous_turn;
  /// Attempt that began the stream which the request takes up; may be empty.
  RequestId m_resumes;
  ProgramId m_program;
};

auto MakeStoredIds(const CallHeaders& headers, const AccountScope& scope)
    -> StoredIds;

/// Counts the decision on a request at its arrival.
auto CountAccessDecision(const AccessDecision& decision) -> void;
/// Counts a request that ended, by account.
auto CountAccountRequest(const EntryContext& context,
                         const AccountScope& scope,
                         bool served) -> void;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CALL_ACCESS_H_
