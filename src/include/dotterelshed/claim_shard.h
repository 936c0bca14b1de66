#ifndef DOTTERELSHED_CLAIM_SHARD_H_
#define DOTTERELSHED_CLAIM_SHARD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "dotterelshed/call.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// Claims of non-idempotent calls as stored in the platform. A claim is written
/// before the call is sent; only the host that wrote it may send the call,
/// once.

namespace dotterelshed {

using ClaimShardId = StrongId<struct ClaimShardIdTag>;

/// Claim of one non-idempotent call, with its result once that is known.
struct ClaimRecord {
  IdempotencyKey m_key;
  /// Content digest; the same key with other content is refused.
  Digest m_content;
  RequestId m_request;
  ProgramId m_program;
  HostRef m_claimer;
  /// Unique per claim: identifies this claim's write after the platform's
  /// response to it was lost.
  std::string m_nonce;
  bool m_has_result = false;
  OutcomeKind m_outcome = OutcomeKind::kUnknown;
  int m_http_status = 0;
  std::string m_answer;
  /// The answer exceeded ClaimOptions::m_max_answer_bytes.
  bool m_answer_truncated = false;
  /// Wall-clock time of the claim in seconds; 0 if it was not known.
  std::int64_t m_claimed_at_s = 0;
};

/// Platform object with the claims of all keys that hash to it. A sealed object
/// holds finished claims moved out of a shard that had grown too large.
struct ClaimShardObject {
  ClaimShardId m_shard;
  ResourceVersion m_version;
  std::vector<ClaimRecord> m_claims;
  /// Names of the sealed objects of this shard, newest last.
  std::vector<ClaimShardId> m_sealed;
  /// Number of the next sealed object; never decreases.
  std::int64_t m_next_seal = 1;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CLAIM_SHARD_H_
