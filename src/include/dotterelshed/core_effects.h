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
/// Effects: all actions that the decision core can request from the process
/// that runs it.

namespace dotterelshed {

/// Send once; delivery is not guaranteed.
struct SendPeer {
  HostId m_to;
  PeerMessage m_message;
};

/// Send once to every seed peer address of the settings. Used by a host that
/// can't learn its domain's lead from the platform.
struct SendToSeedPeers {
  PeerMessage m_message;
};

/// Run one attempt of a call. AttemptFinished always follows.
struct StartAttempt {
  AttemptId m_attempt;
  EndpointId m_endpoint;
  CallRequest m_call;
  /// Fencing number, sent if the service checks it.
  Term m_fence;
  /// Hold under which the engine keeps the call's KV prefix afterwards; empty
  /// for none.
  HoldId m_hold;
  /// For engines that support priorities; lower numbers run first.
  int m_priority = 0;
  /// When set and past at the time of sending, the call is not sent and ends as
  /// kRefused.
  std::optional<TimePoint> m_send_by;
};

struct CancelAttempt {
  AttemptId m_attempt;
};

/// Return the final event to the caller. Answers leave the core only by this
/// effect.
struct FinishCall {
  CallAnswer m_answer;
};

struct ReadTable {
  DomainId m_domain;
};

/// Conditional update of a domain table. m_table.m_version is the version that
/// it replaces.
struct PutTable {
  DomainTable m_table;
};

/// Read a claim shard: the platform object with the claims of all keys that
/// hash to it.
struct ReadClaimShard {
  ClaimShardId m_shard;
};

/// Conditional update of a claim shard. m_shard_object.m_version is the version
/// that it replaces.
struct PutClaimShard {
  ClaimShardObject m_shard_object;
};

/// Delete a sealed claim shard object that is past its retention.
struct DeleteClaimShard {
  ClaimShardId m_shard;
};

/// Read the configuration from the platform, since generation m_seen is newer
/// than the one in force. 0 when the host has none.
struct ReadConfig {
  Generation m_seen;
};

/// Report that a configuration is now in force on this host.
struct ConfigInForce {
  Generation m_generation;
};

/// Start or stop the lead's duty: watching the platform's tables, configuration
/// and list of hosts for the whole domain.
struct SetLeadDuty {
  bool m_active = false;
};

/// Write this domain's roll-out status to the platform, unconditionally. The
/// last write of a lead wins; a lead writes again when its status changes or
/// the platform becomes reachable.
struct PutStatus {
  DomainStatus m_status;
};

/// Release KV memory that an endpoint keeps; HoldReleased follows.
struct ReleaseHold {
  HoldId m_hold;
  EndpointId m_endpoint;
};

/// List the holds of an endpoint; HoldsListed follows when it replies.
struct ListHolds {
  EndpointId m_endpoint;
};

/// Send a command to an endpoint's engine.
struct SendOrder {
  EndpointId m_endpoint;
  EndpointOrder m_order;
};

/// Report that the drain is complete, so that the process may exit.
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
