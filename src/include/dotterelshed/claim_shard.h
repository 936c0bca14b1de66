#ifndef DOTTERELSHED_CLAIM_SHARD_H_
#define DOTTERELSHED_CLAIM_SHARD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "dotterelshed/call.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// Claims of non-idempotent calls as they stand in the platform. A claim is
/// written before the call is sent; only its claimer may send, once.

namespace dotterelshed {

using ClaimShardId = StrongId<struct ClaimShardIdTag>;

/// One non-idempotent call: claimed, and later its result.
struct ClaimRecord {
  IdempotencyKey m_key;
  /// Content digest; the same key with other content is refused.
  Digest m_content;
  RequestId m_request;
  ProgramId m_program;
  HostRef m_claimer;
  /// Distinguishes our own write when the platform's answer was lost.
  std::string m_nonce;
  bool m_has_result = false;
  OutcomeKind m_outcome = OutcomeKind::kUnknown;
  int m_http_status = 0;
  std::string m_answer;
  /// True when the answer was longer than what a lane keeps.
  bool m_answer_truncated = false;
  /// Wall-clock second of the claim, for retention.
  std::int64_t m_claimed_at_s = 0;
};

/// One platform object that holds the claims of all keys hashed to it.
struct ClaimShardObject {
  ClaimShardId m_shard;
  ResourceVersion m_version;
  std::vector<ClaimRecord> m_claims;
  /// Names of full, sealed objects of this lane, newest last.
  std::vector<ClaimShardId> m_sealed;
  /// Number of the next sealed object; only ever grows.
  std::int64_t m_next_seal = 1;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CLAIM_SHARD_H_
