#ifndef DOTTERELSHED_CORE_EFFECTS_H_
#define DOTTERELSHED_CORE_EFFECTS_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dotterelshed/call.h"
#include "dotterelshed/claim_shard.h"
#include "dotterelshed/endpoint_types.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/log_events.h"
#include "dotterelshed/peer_messages.h"

/// @file
/// Everything that the decision core can ask of the process around it.

namespace dotterelshed {

/// Send once, no delivery promised.
struct SendPeer {
  HostId m_to;
  PeerMessage m_message;
};

/// Send once to every seed peer address of the settings; used by a host that
/// can't learn its domain's lead from the platform.
struct SendToSeedPeers {
  PeerMessage m_message;
};

/// Run one attempt of a call; AttemptFinished follows, always.
struct StartAttempt {
  AttemptId m_attempt;
  EndpointId m_endpoint;
  CallRequest m_call;
  /// Sent as fencing number where the service checks it.
  Term m_fence;
  /// Prefix to keep after the call; empty for none.
  HoldId m_hold;
  /// For engines that honour priorities; a lower number goes first.
  int m_priority = 0;
  /// When set and passed at the moment of sending, the call is not sent and
  /// ends as kRefused.
  std::optional<TimePoint> m_send_by;
};

struct CancelAttempt {
  AttemptId m_attempt;
};

/// Give the caller its final event. The only way an answer gets out.
struct FinishCall {
  CallAnswer m_answer;
};

struct ReadTable {
  DomainId m_domain;
};

/// Conditional update: m_table.m_version is the version that it replaces.
struct PutTable {
  DomainTable m_table;
};

struct ReadClaimShard {
  ClaimShardId m_shard;
};

/// Conditional update: m_shard_object.m_version is the version it replaces.
struct PutClaimShard {
  ClaimShardObject m_shard_object;
};

/// Delete a sealed lane object that is past its retention.
struct DeleteClaimShard {
  ClaimShardId m_shard;
};

/// Read the configuration from the platform, since @p m_seen is newer.
struct ReadConfig {
  Generation m_seen;
};

/// The configuration is in force on this host from now on.
struct ConfigInForce {
  Generation m_generation;
};

/// This host became, or stopped being, the lead of its domain. The lead
/// watches the platform's tables, configuration and host list for all.
struct SetLeadDuty {
  bool m_active = false;
};

/// Write this domain's roll-out status to the platform, unconditionally; the
/// last lead to write wins and writes again when it learns otherwise.
struct PutStatus {
  DomainStatus m_status;
};

struct ReleaseHold {
  HoldId m_hold;
  EndpointId m_endpoint;
};

/// Ask an endpoint what it holds; HoldsListed follows when it answers.
struct ListHolds {
  EndpointId m_endpoint;
};

struct SendOrder {
  EndpointId m_endpoint;
  EndpointOrder m_order;
};

/// The host has nothing left to do and may exit.
struct DrainFinished {};

struct WriteLog {
  LogEventId m_id;
  std::vector<LogField> m_fields;
};

using Effect = std::variant<SendPeer,
                            SendToSeedPeers,
                            StartAttempt,
                            CancelAttempt,
                            FinishCall,
                            ReadTable,
                            PutTable,
                            ReadClaimShard,
                            PutClaimShard,
                            DeleteClaimShard,
                            ReadConfig,
                            ConfigInForce,
                            SetLeadDuty,
                            PutStatus,
                            ReleaseHold,
                            ListHolds,
                            SendOrder,
                            DrainFinished,
                            WriteLog>;
using Effects = std::vector<Effect>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CORE_EFFECTS_H_
