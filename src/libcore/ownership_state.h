#ifndef DOTTERELSHED_LIBCORE_OWNERSHIP_STATE_H_
#define DOTTERELSHED_LIBCORE_OWNERSHIP_STATE_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "dotterelshed/ownership.h"
#include "ownership_cut.h"
#include "ownership_plan.h"
#include "ownership_state_machines.h"

/// @file
/// State of ownership.h and the steps that its files share.

namespace dotterelshed {

namespace pvt {

/// A host of this domain. The lead fills it from heartbeats, other hosts from
/// the lead's digests.
struct MemberState {
  MemberInfo m_info;
  /// When its last heartbeat came; used by the lead only.
  TimePoint m_heard;
  /// When it was first found down; used by the lead only.
  TimePoint m_down_since;
  /// News number of the last change.
  std::int64_t m_changed = 0;
  /// News number that its last heartbeat echoed.
  std::int64_t m_news_seen = 0;
  ResourceVersion m_table_version;
  std::vector<PoolId> m_unconfirmed;
  std::vector<PoolId> m_pinned;
  /// False until this lead has heard from it: its busy pools are not known.
  bool m_reported = false;
};

/// The table of another domain.
struct RemoteTable {
  DomainTable m_table;
  std::int64_t m_changed = 0;
};

/// What the platform's list says of an endpoint.
struct ListedEndpoint {
  bool m_leaving = false;
  std::int64_t m_changed = 0;
};

/// Which call to the platform is under way for this domain's table.
enum class TableCall { kNone, kRead, kPut };

/// What this host says of itself in heartbeats.
struct Announcements {
  Generation m_generation;
  int m_headroom = 0;
  std::vector<PoolId> m_unconfirmed;
  std::vector<PoolId> m_pinned;
  /// Not yet seen in a digest of the lead.
  std::set<Digest> m_quarantined;
};

/// The platform, as this host or its lead finds it.
struct PlatformView {
  bool m_reachable = true;
  TimePoint m_changed;
  TableCall m_call = TableCall::kNone;
  TimePoint m_call_since;
  TimePoint m_next_read;
  Duration m_backoff{0};
};

/// A host's watch over its lead.
struct LeadView {
  TimePoint m_heard;
  /// Set while no digest comes from the lead.
  bool m_suspected = false;
  TimePoint m_takeover_at;
  /// True once the table was read after the lead was suspected.
  bool m_table_fresh = false;
  /// When this host read the platform while the lead says that it can't.
  std::optional<TimePoint> m_probed_at;
  TimePoint m_next_probe;
};

}  // namespace pvt

struct Ownership {
  OwnershipOptions m_options;
  pvt::OwnershipCharts m_charts;
  pvt::HostState m_state = pvt::HostState::kStarting;
  std::optional<DomainTable> m_table;
  /// Earlier tables, newest last, to send differences from.
  std::deque<DomainTable> m_old_tables;
  std::map<DomainId, pvt::RemoteTable> m_remote;
  std::map<HostId, pvt::MemberState> m_members;
  /// Hosts that the platform lists as leaving.
  std::set<HostId> m_listed_leaving;
  /// Hosts outside the table that sent something lately, for answers.
  std::map<HostId, MemberRecord> m_visitors;
  std::map<Digest, std::int64_t> m_quarantined;
  /// Endpoints that are, or were, listed as leaving.
  std::map<EndpointId, pvt::ListedEndpoint> m_endpoints;
  std::set<PoolId> m_wanted;
  pvt::PoolCut m_cut;
  Generation m_config_generation;
  pvt::Announcements m_announced;
  pvt::PlatformView m_platform;
  pvt::LeadView m_lead;
  /// Counts changes that digests carry; meaningful at one lead only.
  std::int64_t m_news = 0;
  /// Last news number taken from the lead.
  std::int64_t m_news_seen = 0;
  HostRef m_news_from;
  std::set<PoolId> m_unconfirmed;
  /// Pools that this host gave away since it was asked to drain.
  std::set<PoolId> m_given_away;
  TimePoint m_roles_changed;
  std::optional<TimePoint> m_last_tick;
  TimePoint m_next_heartbeat;
  TimePoint m_next_balance;
  TimePoint m_membership_stable_since;
  TimePoint m_lead_since;
  TimePoint m_next_plan;
  /// The lead has news that can't wait for the next heartbeats.
  bool m_push_due = false;
  /// Differs between hosts, so that their calls to the platform do not come
  /// all at once.
  Duration m_jitter{0};
};

namespace pvt {

/// A call to the platform without an answer after this long is taken as lost.
inline constexpr auto kTableCallTimeout = std::chrono::seconds(5);

/// Silence after which a host counts as down.
auto DownAfter(const Ownership& ownership) -> Duration;
auto IsSelfLead(const Ownership& ownership) -> bool;
/// Takes news of the platform's list of endpoints. An endpoint that was never
/// listed as leaving is no news.
auto TakeListedEndpoint(Ownership& ownership,
                        const EndpointListingChanged& listed,
                        OwnershipStep& step) -> void;
/// This host is draining or drained.
auto IsLeaving(const Ownership& ownership) -> bool;
/// Sends one chart event to the host's life cycle.
auto FireHostEvent(Ownership& ownership, HostEvent event, OwnershipStep& step)
    -> void;

/// Takes @p table over if it is newer than the one known.
auto AdoptTable(Ownership& ownership,
                const DomainTable& table,
                TimePoint now,
                OwnershipStep& step) -> void;
auto AdoptRemoteTable(Ownership& ownership, const DomainTable& table) -> void;
/// Asks for this domain's table unless a call is under way.
auto StartRead(Ownership& ownership, TimePoint now, OwnershipStep& step)
    -> void;
/// Forgets a call whose answer is overdue. @return true if there was one
auto DropLostCall(Ownership& ownership, TimePoint now) -> bool;
/// Proposes @p table in place of its version unless a call is under way.
auto StartPut(Ownership& ownership,
              DomainTable table,
              TimePoint now,
              OwnershipStep& step) -> void;
/// The table with this host as its lead at the next lead term.
auto WithSelfAsLead(const Ownership& ownership, DomainTable table)
    -> DomainTable;

/// Gives the next news number to a change.
auto NextNews(Ownership& ownership) -> std::int64_t;
auto MakeHeartbeat(const Ownership& ownership) -> Heartbeat;
auto MakeDigest(const Ownership& ownership,
                ResourceVersion table_seen,
                std::int64_t news_seen) -> DomainDigest;
/// Sends the table to all members at once, as the lead.
auto PushDigests(Ownership& ownership, OwnershipStep& step) -> void;
/// Remembers @p content; at the limit the oldest is let go.
auto NoteQuarantined(Ownership& ownership, const Digest& content) -> void;
auto AddQuarantined(Ownership& ownership,
                    const std::vector<Digest>& contents,
                    OwnershipStep& step) -> void;

/// Starts with a fresh view of the members as their new lead.
auto BecomeLead(Ownership& ownership, TimePoint now) -> void;
/// What the lead does on each tick: finds hosts down, proposes tables.
auto TickLead(Ownership& ownership, TimePoint now, OwnershipStep& step) -> void;
/// What other hosts do on each tick: watch the lead, take over.
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

#endif  // DOTTERELSHED_LIBCORE_OWNERSHIP_STATE_H_
