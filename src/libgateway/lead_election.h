#ifndef DOTTERELSHED_LEAD_ELECTION_H_
#define DOTTERELSHED_LEAD_ELECTION_H_

#include "entry_context.h"
#include "lead_service.h"

/// @file
/// Decides when a host becomes lead without being triggered by a client
/// request: if no host leads its domain, if the store still names an earlier
/// process of this host, or if the lead has a much smaller processor share. The
/// lead handles each turn of its domain, so it should not be a host with little
/// processor time.

namespace dotterelshed {

class LeadElection {
 public:
  LeadElection(EntryContext& context, LeadService& lead);

  /// Call several times per second while this host may become lead.
  auto Tick(TimePoint now) -> void;

 private:
  /// Returns true if @p lead should be replaced by this host.
  auto IsMuchSmaller(const KnownLead& lead) const -> bool;
  auto RequestYield(const KnownLead& lead) -> void;

  EntryContext& m_context;
  LeadService& m_lead;
  TimePoint m_started_at;
  /// Time for which this host waits for another to become lead.
  Duration m_election_delay;
  TimePoint m_next_yield_request;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LEAD_ELECTION_H_
