#ifndef DOTTERELSHED_LIBCORE_OWNERSHIP_OWNERSHIP_STATE_H_
#define DOTTERELSHED_LIBCORE_OWNERSHIP_OWNERSHIP_STATE_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "dotterelshed/ownership.h"
#include "ownership/ownership_partition.h"
#include "ownership/ownership_plan.h"
#include "ownership/ownership_state_machines.h"

/// @file
/// State behind dotterelshed/ownership.h and functions shared by its sources.

namespace dotterelshed {

namespace pvt {

/// State of a host of this domain. The lead fills it in from heartbeats, other
/// hosts from the lead's digests.
struct MemberState {
  MemberInfo m_info;
  /// Time of its last heartbeat; used by the lead only.
  TimePoint m_last_heard;
  /// Time at which it was found down; used by the lead only.
  TimePoint m_down_since;
  /// Update number of the last change; 0 before the first one.
  std::int64_t m_update_number = 0;
  /// Update number that its last heartbeat acknowledged.
  std::int64_t m_updates_seen = 0;
  ResourceVersion m_table_version;
  std::vector<PoolId> m_unconfirmed;
  std::vector<PoolId> m_pinned;
  /// False until this lead has received a heartbeat from it. Its pools with
  /// calls in progress are not known before.
  bool m_reported = false;
};

/// The table of another domain.
struct RemoteTable {
  DomainTable m_table;
  std::int64_t m_update_number = 0;
};

/// Latest entry of the platform's list about an endpoint.
struct ListedEndpoint {
  bool m_leaving = false;
  std::int64_t m_update_number = 0;
};

/// Request to the platform for this domain's table that is in progress.
enum class TableRequest { kNone, kRead, kPut };

/// State that this host announces in its heartbeats.
struct Announcements {
  Generation m_generation;
  int m_headroom = 0;
  std::vector<PoolId> m_unconfirmed;
  std::vector<PoolId> m_pinned;
  /// Content digests that no digest of the lead has acknowledged yet.
  std::set<Digest> m_quarantined;
};

/// Reachability of the platform, as this host or its lead finds it, and this
/// host's requests for its domain's table.
struct PlatformView {
  bool m_reachable = true;
  TimePoint m_reachability_changed;
  TableRequest m_request = TableRequest::kNone;
  TimePoint m_request_since;
  TimePoint m_next_read;
  Duration m_backoff{0};
};

/// Failure detection of the lead by another host.
struct LeadView {
  TimePoint m_last_heard;
  /// Set while the lead's digests are overdue.
  bool m_suspected = false;
  TimePoint m_takeover_at;
  /// Set once the table was read after the lead was suspected.
  bool m_table_fresh = false;
  /// Time at which this host read the table although the lead reports that the
  /// platform is unreachable.
  std::optional<TimePoint> m_probed_at;
  TimePoint m_next_probe;
};

}  // namespace pvt

struct Ownership {
  OwnershipOptions m_options;
  pvt::OwnershipStateMachines m_state_machines;
  pvt::HostState m_state = pvt::HostState::kStarting;
  std::optional<DomainTable> m_table;
  /// Earlier tables, newest last, as bases for differences in digests.
  std::deque<DomainTable> m_old_tables;
  std::map<DomainId, pvt::RemoteTable> m_remote;
  std::map<HostId, pvt::MemberState> m_members;
  /// Hosts that the platform lists as leaving.
  std::set<HostId> m_listed_leaving;
  /// Addresses of hosts that sent them in a heartbeat, for replies. Such hosts
  /// are not in the table yet.
  std::map<HostId, MemberRecord> m_recent_senders;
  std::map<Digest, std::int64_t> m_quarantined;
  /// Endpoints that are or were listed as leaving.
  std::map<EndpointId, pvt::ListedEndpoint> m_endpoints;
  std::set<PoolId> m_desired_pools;
  pvt::PoolPartition m_partition;
  Generation m_config_generation;
  pvt::Announcements m_announced;
  pvt::PlatformView m_platform;
  pvt::LeadView m_lead;
  /// Number of the latest change sent in digests. Meaningful only for digests
  /// of one lead.
  std::int64_t m_update_number = 0;
  /// Last update number applied from the lead m_updates_from.
  std::int64_t m_updates_seen = 0;
  HostRef m_updates_from;
  std::set<PoolId> m_unconfirmed;
  /// Pools whose role this host has transferred since its drain began.
  std::set<PoolId> m_transferred_pools;
  TimePoint m_roles_changed;
  std::optional<TimePoint> m_last_tick;
  TimePoint m_next_heartbeat;
  TimePoint m_next_balance;
  TimePoint m_membership_stable_since;
  TimePoint m_lead_since;
  TimePoint m_next_plan;
  /// Set when the lead must send a digest before the next heartbeats.
  bool m_push_pending = false;
  /// Delay of reads that differs between hosts, so that their requests do not
  /// reach the platform at the same time.
  Duration m_jitter{0};
};

namespace pvt {

/// A request to the platform that is unanswered after this time counts as lost.
inline constexpr auto kTableRequestTimeout = std::chrono::seconds(5);

/// Time without a message after which a host counts as down.
auto DownAfter(const Ownership& ownership) -> Duration;
auto IsSelfLead(const Ownership& ownership) -> bool;
/// Applies a change in the platform's list of endpoints. An endpoint that stays
/// and was never listed as leaving is not recorded.
auto ApplyEndpointListing(Ownership& ownership,
                          const EndpointListingChanged& listed,
                          OwnershipStep& step) -> void;
/// Returns true if this host is draining or drained.
auto IsLeaving(const Ownership& ownership) -> bool;
/// Sends @p event to the state machine of the host's life cycle. Ignored if the
/// state has no transition for it.
auto FireHostEvent(Ownership& ownership, HostEvent event, OwnershipStep& step)
    -> void;

/// Adopts @p table if it is newer than the known one, and reports what changed.
auto AdoptTable(Ownership& ownership,
                const DomainTable& table,
                TimePoint now,
                OwnershipStep& step) -> void;
auto AdoptRemoteTable(Ownership& ownership, const DomainTable& table) -> void;
/// Requests this domain's table unless a request is in progress.
auto StartRead(Ownership& ownership, TimePoint now, OwnershipStep& step)
    -> void;
/// Gives up a request that is past kTableRequestTimeout. @return true if there
/// was one
auto DropTimedOutRequest(Ownership& ownership, TimePoint now) -> bool;
/// Proposes @p table as the successor of the version that it carries, unless a
/// request is in progress.
auto StartPut(Ownership& ownership,
              DomainTable table,
              TimePoint now,
              OwnershipStep& step) -> void;
/// Returns @p table with this host as the lead, at the next lead term.
auto WithSelfAsLead(const Ownership& ownership, DomainTable table)
    -> DomainTable;

/// Returns the update number for a new change.
auto NextUpdateNumber(Ownership& ownership) -> std::int64_t;
auto MakeHeartbeat(const Ownership& ownership) -> Heartbeat;
auto MakeDigest(const Ownership& ownership,
                ResourceVersion table_seen,
                std::int64_t updates_seen) -> DomainDigest;
/// Sends a digest to all live members at once.
auto PushDigests(Ownership& ownership, OwnershipStep& step) -> void;
/// Adds @p content to the quarantine. Above the limit the oldest is evicted.
auto RecordQuarantined(Ownership& ownership, const Digest& content) -> void;
auto AddQuarantined(Ownership& ownership,
                    const std::vector<Digest>& contents,
                    OwnershipStep& step) -> void;

/// Initializes the new lead's view of the members: all count as alive, and all
/// state is sent again under new update numbers.
auto BecomeLead(Ownership& ownership, TimePoint now) -> void;
/// Work of the lead on each tick: detects down hosts and proposes tables.
auto TickLead(Ownership& ownership, TimePoint now, OwnershipStep& step) -> void;
/// Work of other hosts on each tick: watch the lead and replace it.
auto TickFollower(Ownership& ownership, TimePoint now, OwnershipStep& step)
    -> void;
auto MakePlanInput(const Ownership& ownership, TimePoint now) -> PlanInput;

auto SetPlatformReachable(Ownership& ownership,
                          bool reachable,
                          TimePoint now,
                          OwnershipStep& step) -> void;
auto AddLog(OwnershipStep& step, LogEventId id, std::vector<LogField> fields)
    -> void;

}  // namespace pvt

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LIBCORE_OWNERSHIP_OWNERSHIP_STATE_H_
