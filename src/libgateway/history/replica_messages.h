#ifndef DOTTERELSHED_REPLICA_MESSAGES_H_
#define DOTTERELSHED_REPLICA_MESSAGES_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelshed/error.h"
#include "dotterelshed/replica_placement.h"
#include "dotterelshed/turn_record.h"

/// @file
/// Messages that write, read and copy the stored turns of conversations. Bodies
/// are MessagePack, since texts of turns may hold any bytes.

namespace dotterelshed {

/// Reads a turn and those that it continues from.
struct TurnReadRequest {
  RequestId m_turn;
};

struct TurnReadResponse {
  /// Newest first; empty if the turn is not there.
  std::vector<TurnRecord> m_turns;
  /// Time for which the replica has not lost any turn, so far as it can know.
  Duration m_intact_for{0};
};

/// Lists a replica's turns for another replica.
struct TurnListRequest {
  /// Start of the replica that m_after belongs to; after a restart the list
  /// begins anew.
  Incarnation m_incarnation;
  std::uint64_t m_after = 0;
  /// Younger turns are left out, since their writer is still sending them.
  Duration m_min_age{0};
};

struct ListedTurn {
  RequestId m_turn;
  ProgramId m_program;
  /// Hosts that are to have it besides the program's replicas.
  std::set<HostId> m_substitutes;
};

struct TurnListResponse {
  Incarnation m_incarnation;
  std::vector<ListedTurn> m_turns;
  std::uint64_t m_last_sequence = 0;
  bool m_has_more = false;
};

/// Withdraws a turn whose response did not reach its caller.
struct TurnWithdrawal {
  RequestId m_turn;
  /// Time for which the turn must not be stored again.
  Duration m_lifetime{0};
};

auto EncodeTurnRecords(const std::vector<const TurnRecord*>& records)
    -> std::string;
auto EncodeTurnReadRequest(const TurnReadRequest& request) -> std::string;
auto EncodeTurnReadResponse(const std::vector<const TurnRecord*>& newest_first,
                            Duration intact_for) -> std::string;
auto EncodeTurnListRequest(const TurnListRequest& request) -> std::string;
auto EncodeTurnListResponse(const TurnListResponse& response) -> std::string;
auto EncodeTurnIds(const std::vector<RequestId>& turns) -> std::string;
/// Asks a replica to copy all turns of @p leaving, which is being drained.
auto EncodeCopyRequest(const HostId& leaving) -> std::string;
auto EncodeTurnWithdrawal(const TurnWithdrawal& withdrawal) -> std::string;

// Errors of all: kInvalidArgument for text that is no message of the kind.

auto DecodeTurnRecords(std::string_view text)
    -> Result<std::vector<TurnRecord>>;
auto DecodeTurnReadRequest(std::string_view text) -> Result<TurnReadRequest>;
auto DecodeTurnReadResponse(std::string_view text) -> Result<TurnReadResponse>;
auto DecodeTurnListRequest(std::string_view text) -> Result<TurnListRequest>;
auto DecodeTurnListResponse(std::string_view text) -> Result<TurnListResponse>;
auto DecodeTurnIds(std::string_view text) -> Result<std::vector<RequestId>>;
auto DecodeCopyRequest(std::string_view text) -> Result<HostId>;
auto DecodeTurnWithdrawal(std::string_view text) -> Result<TurnWithdrawal>;

/// Entry of a disk host in the platform's store, by which others find it.
auto EncodeReplicaHost(const ReplicaHost& host) -> nlohmann::json;
auto DecodeReplicaHost(const nlohmann::json& json) -> Result<ReplicaHost>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_REPLICA_MESSAGES_H_
