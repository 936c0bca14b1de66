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
/// Events: all inputs of the decision core of one host. The daemon creates them
/// from I/O; tests and replay create them directly.

namespace dotterelshed {

/// A call arrived at the host that is expected to own its program's pool.
struct CallArrived {
  CallRequest m_call;
};

/// The caller disconnected or cancelled the call.
struct CallCancelled {
  RequestId m_request;
};

/// The caller ended the program.
struct ProgramEndRequested {
  ProgramId m_program;
};

/// The answer of an earlier request is requested again, without the request's
/// body. FinishCall follows with the stored answer, or kUnknown with kNoRecord.
struct AnswerRequested {
  RequestId m_request;
  ProgramId m_program;
};

struct PeerArrived {
  PeerMessage m_message;
};

/// A running attempt generated tokens.
struct AttemptProgressed {
  AttemptId m_attempt;
  Tokens m_generated;
};

struct AttemptFinished {
  AttemptId m_attempt;
  AttemptResult m_result;
};

/// Response to ReadTable or PutTable, or an update from the table watch.
struct TableArrived {
  DomainId m_domain;
  Result<DomainTable> m_table;
  /// True when this is the response to a PutTable.
  bool m_from_put = false;
};

/// Response to ReadClaimShard or PutClaimShard.
struct ClaimShardArrived {
  ClaimShardId m_shard;
  Result<ClaimShardObject> m_shard_object;
  bool m_from_put = false;
};

/// A configuration was read from the platform.
struct ConfigArrived {
  std::shared_ptr<const DeskConfig> m_config;
  /// Its text as written by the operators, to send to peers.
  std::string m_text;
};

/// The platform's list of hosts shows a host as leaving or gone, or as live.
struct HostListingChanged {
  HostId m_host;
  bool m_leaving = false;
};

/// The platform's list of endpoints shows an endpoint as leaving or as staying.
/// The lead watches the list and sends changes to the other hosts. What an
/// endpoint itself reports comes with LoadReported.
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

/// Response to ListHolds, which is compared with the live programs.
struct HoldsListed {
  EndpointId m_endpoint;
  std::vector<HoldRecord> m_holds;
};

/// Response to ReleaseHold.
struct HoldReleased {
  HoldId m_hold;
  EndpointId m_endpoint;
  bool m_released = false;
};

/// An operator or a signal requested that this host drain and stop.
struct DrainRequested {};

/// Periodic event, sent at least every Settings::m_tick.
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
