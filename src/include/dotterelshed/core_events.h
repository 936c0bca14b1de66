#ifndef DOTTERELSHED_CORE_EVENTS_H_
#define DOTTERELSHED_CORE_EVENTS_H_

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "dotterelshed/call.h"
#include "dotterelshed/claim_shard.h"
#include "dotterelshed/desk_config.h"
#include "dotterelshed/endpoint_types.h"
#include "dotterelshed/error.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/peer_messages.h"

/// @file
/// Everything that can happen to the decision core of one host. The daemon
/// makes these from I/O, tests and replay make them by hand.

namespace dotterelshed {

/// A call reached the host that should own its program's pool.
struct CallArrived {
  CallRequest m_call;
};

/// The caller went away or asked for the call to stop.
struct CallCancelled {
  RequestId m_request;
};

/// The program was ended by its caller.
struct ProgramEndRequested {
  ProgramId m_program;
};

/// Somebody asks again for the answer of a request whose body isn't at hand.
/// FinishCall follows: the stored answer, or kUnknown with kNoRecord.
struct AnswerRequested {
  RequestId m_request;
  ProgramId m_program;
};

struct PeerArrived {
  PeerMessage m_message;
};

/// Tokens came in for a running attempt.
struct AttemptProgressed {
  AttemptId m_attempt;
  Tokens m_generated;
};

struct AttemptFinished {
  AttemptId m_attempt;
  AttemptResult m_result;
};

/// Answer to ReadTable or PutTable, or news from the table watch.
struct TableArrived {
  DomainId m_domain;
  Result<DomainTable> m_table;
  /// True when this answers a PutTable that took effect.
  bool m_from_put = false;
};

/// Answer to ReadClaimShard or PutClaimShard.
struct ClaimShardArrived {
  ClaimShardId m_shard;
  Result<ClaimShardObject> m_shard_object;
  bool m_from_put = false;
};

/// A configuration was read from the platform, a peer or a lead.
struct ConfigArrived {
  std::shared_ptr<const DeskConfig> m_config;
  /// The operators' text of it, to hand on to peers.
  std::string m_text;
};

/// A host was seen in the platform's list as leaving or gone, or live.
struct HostListingChanged {
  HostId m_host;
  bool m_leaving = false;
};

/// What the platform's list says of an endpoint; the lead sees it and tells
/// the other hosts. An endpoint's own word comes with LoadReported.
struct EndpointListingChanged {
  EndpointId m_endpoint;
  bool m_leaving = false;
};

struct LoadReported {
  LoadReport m_report;
};

struct CacheReported {
  CacheReport m_report;
};

/// What an endpoint says that it holds; compared with live programs.
struct HoldsListed {
  EndpointId m_endpoint;
  std::vector<HoldRecord> m_holds;
};

/// Answer to a ReleaseHold effect.
struct HoldReleased {
  HoldId m_hold;
  EndpointId m_endpoint;
  bool m_released = false;
};

/// The operator or a signal asked this host to stop.
struct DrainRequested {};

/// Time passed; sent at least every Settings::m_tick.
struct Tick {};

using Event = std::variant<CallArrived,
                           CallCancelled,
                           ProgramEndRequested,
                           AnswerRequested,
                           PeerArrived,
                           AttemptProgressed,
                           AttemptFinished,
                           TableArrived,
                           ClaimShardArrived,
                           ConfigArrived,
                           HostListingChanged,
                           EndpointListingChanged,
                           LoadReported,
                           CacheReported,
                           HoldsListed,
                           HoldReleased,
                           DrainRequested,
                           Tick>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CORE_EVENTS_H_
